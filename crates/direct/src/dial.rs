//! TCP connections that detect an unresponsive peer: takes an address, or an accepted connection.
//! It keeps no state. It decides on the socket options, by which the kernel fails a connection
//! whose peer no longer acknowledges.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hooktrestle_stream::Allowance;
use hooktrestle_stream::BoundedStream;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time;

use crate::answer_stream::AnswerStream;
use crate::answer_stream::AwaitedHead;
use crate::bounded::RequestSender;

/// Maximum time for which sent bytes or keep-alive probes may remain unacknowledged. A peer that is
/// cut off is detected within this time; links between data centres have round trips below 25 ms.
const UNRESPONSIVE_PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without traffic before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum size of the head of an answer. A server in trouble may send one without end.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Opens a connection.
///
/// # Errors
///
/// The peer refuses the connection, or does not accept it within `timeout`.
pub async fn dial(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connection timed out"))??;
    set_liveness_options(&stream)?;
    Ok(stream)
}

/// Opens a connection for HTTP/1.1 requests. A task of the current local set drives it until the
/// sender is dropped or the task is aborted.
///
/// The connection is reset when it is closed. This discards request bytes that are still in transit
/// to a frozen machine, so that no server reads a request whose caller has disconnected. Once an
/// answer was read to its end, no bytes can be lost.
///
/// # Errors
///
/// As [`dial`].
pub async fn dial_http(
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<(RequestSender, AbortHandle)> {
    let stream = dial(address, timeout).await?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let allowance = Allowance::new(MAX_HEAD_BYTES);
    let head = AwaitedHead::default();
    let stream = BoundedStream::new(stream, allowance.clone());
    let stream = TokioIo::new(AnswerStream::new(stream, head.clone()));
    let (sender, driver) = builder.handshake(stream).await.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // The request that waits for an answer on this connection receives the error.
        drop(driver.await);
    });
    Ok((RequestSender::new(sender, allowance, head), task.abort_handle()))
}

/// Sets the socket options that detect an unresponsive peer, on an opened or accepted connection.
/// A peer that does not read is unresponsive, too.
///
/// # Errors
///
/// The connection is already closed.
pub fn set_liveness_options(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(UNRESPONSIVE_PEER_TIMEOUT))?;
    set_caller_options(stream)
}

/// Sets the socket options of a caller's connection. Keep-alive probes detect a caller that is
/// gone. A caller that does not read acknowledges them, and is kept: its answer may be complete.
///
/// # Errors
///
/// The connection is already closed.
pub fn set_caller_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}
