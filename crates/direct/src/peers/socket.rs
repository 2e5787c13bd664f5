//! WebSocket connections to other gateways.
//! Input: an accepted connection, or an address. State: the allowance of the other side.
//! Decides how large a message may be, and which connections fail for what they carry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use eyre::bail;
use futures_util::StreamExt;
use hooktrestle_stream::Allowance;
use hooktrestle_stream::BoundedStream;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::dial;

/// Maximum size of a message, which may contain whole tables.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// A connection to another gateway.
pub(crate) type Socket = WebSocketStream<BoundedStream<TcpStream>>;

/// Completes the opening handshake on an accepted connection.
///
/// # Errors
///
/// The other side does not open a WebSocket.
pub(crate) async fn accept(stream: TcpStream) -> Result<Socket> {
    let accepted = tokio_tungstenite::accept_async_with_config(bounded(stream), config());
    Ok(accepted.await?)
}

/// Opens a connection to another gateway.
///
/// # Errors
///
/// It does not accept the connection within `timeout`, or does not open a WebSocket.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> Result<Socket> {
    let stream = bounded(dial::dial(address, timeout).await?);
    let url = format!("ws://{address}/");
    Ok(tokio_tungstenite::client_async_with_config(url, stream, config()).await?.0)
}

/// The next message; `None` once the other side has closed the connection.
///
/// # Errors
///
/// The connection fails, or carries something that no gateway sends, such as pings.
pub(crate) async fn next_message(socket: &mut Socket) -> Result<Option<Bytes>> {
    let Some(message) = socket.next().await else { return Ok(None) };
    match message? {
        Message::Binary(bytes) => {
            socket.get_ref().allowance().begin_message();
            Ok(Some(bytes))
        }
        Message::Close(_) => Ok(None),
        _ => bail!("the peer sent a message of another kind than gateways do"),
    }
}

fn bounded(stream: TcpStream) -> BoundedStream<TcpStream> {
    BoundedStream::new(stream, Allowance::new(MAX_MESSAGE_BYTES))
}

fn config() -> Option<WebSocketConfig> {
    let config = WebSocketConfig::default();
    Some(config.max_message_size(Some(MAX_MESSAGE_BYTES)).max_frame_size(Some(MAX_MESSAGE_BYTES)))
}
