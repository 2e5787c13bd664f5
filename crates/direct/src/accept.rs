//! Accepts TCP connections from a listener, one at a time, and sets their socket options. It keeps
//! no state. It decides to retry after a delay when accepting fails.

use std::io;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::dial;

/// Delay after a failure to accept, which is caused by a lack of file descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts the next connection and sets the options that detect an unresponsive peer. A failure to
/// accept is passed to `log_error` and followed by a delay.
pub async fn next(listener: &TcpListener, log_error: impl Fn(&io::Error)) -> TcpStream {
    next_with(listener, dial::set_liveness_options, log_error).await
}

/// [`next`] for a caller's connection, which stays open while the caller does not read.
pub async fn next_caller(listener: &TcpListener, log_error: impl Fn(&io::Error)) -> TcpStream {
    next_with(listener, dial::set_caller_options, log_error).await
}

async fn next_with(
    listener: &TcpListener,
    set_options: impl Fn(&TcpStream) -> io::Result<()>,
    log_error: impl Fn(&io::Error),
) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if set_options(&stream).is_ok() => return stream,
            // The peer has already closed the connection.
            Ok(_) => {}
            Err(error) => {
                log_error(&error);
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
