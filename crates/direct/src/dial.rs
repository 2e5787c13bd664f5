//! TCP connections that notice a peer which says nothing.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time;

/// Longest time that sent bytes stay unacknowledged, and that an idle peer may be silent. A cut
/// peer is noticed within it; the users' links have round trips below 25 ms.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Time without traffic after which a peer is probed, and between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer after which a peer is gone.
const PROBES: u32 = 2;

/// Opens a connection.
///
/// # Errors
///
/// The peer refused, or did not answer within `timeout`.
pub async fn dial(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no connection in time"))??;
    set_liveness_options(&stream)?;
    Ok(stream)
}

/// Opens a connection for HTTP/1.1 requests. It is driven by a task of the present local set until
/// the sender is dropped, or the task is aborted. Closed, it is reset: what was sent and is still held on
/// the way to a machine that stands still is taken back, so that no server reads a request whose caller
/// has left. Where an answer was read to its end, nothing is left to be lost.
///
/// # Errors
///
/// As [`dial`].
pub async fn dial_http(
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<(SendRequest<Full<Bytes>>, AbortHandle)> {
    let stream = dial(address, timeout).await?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    let (sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // What went wrong is told to whoever waits for an answer on it.
        drop(driver.await);
    });
    Ok((sender, task.abort_handle()))
}

/// Sets the options that notice a silent peer, on a connection dialled or accepted.
///
/// # Errors
///
/// The connection is closed already.
pub fn set_liveness_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(SILENCE))?;
    let probes =
        TcpKeepalive::new().with_time(PROBE_EVERY).with_interval(PROBE_EVERY).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
