//! Connections from others, accepted one by one.

use std::io;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::dial;

/// Pause after a failure to accept, which is for want of descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// The next connection, with the options that notice a silent peer. Failures to accept are told to
/// `note`, and followed by a pause.
pub async fn next(listener: &TcpListener, note: impl Fn(&io::Error)) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if dial::set_liveness_options(&stream).is_ok() => return stream,
            // The other side has closed it already.
            Ok(_) => {}
            Err(error) => {
                note(&error);
                time::sleep(PAUSE).await;
            }
        }
    }
}
