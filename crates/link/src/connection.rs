//! Opening a link, and its two halves.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use hooktrestle_schema::ChallengeFrame;
use hooktrestle_schema::Frame;
use hooktrestle_schema::HelloFrame;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::auth::Keys;
use crate::codec;
use crate::error::Error;
use crate::error::ErrorKind;

/// Frames that may wait to be written before senders wait. Body frames are bounded by credit;
/// this bounds the rest.
const OUTBOX_FRAMES: usize = 1_024;

type Socket = WebSocketStream<TcpStream>;

/// Settings of a link.
#[derive(Clone, Debug)]
pub struct Config {
    /// Shared keys.
    pub keys: Keys,
    /// Largest message that is read, in bytes.
    pub max_message_bytes: usize,
    /// Silence after which the peer counts as gone; also the longest wait while opening.
    pub silence_timeout: Duration,
}

/// Who a process says it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Name of its instance.
    pub instance: String,
    /// Which life of it this is; drawn at random at each start.
    pub incarnation: u64,
}

/// The other side of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Who it is.
    pub identity: Identity,
    /// The link's epoch, which the dialling side chose.
    pub link_epoch: u64,
}

/// A link that has just been opened.
#[derive(Debug)]
pub struct Opened {
    /// Who is at the other side.
    pub peer: Peer,
    /// The half that writes.
    pub sender: Sender,
    /// The half that reads.
    pub receiver: Receiver,
}

/// What waits to be written.
#[derive(Debug)]
enum Outgoing {
    Message(Bytes),
    /// Somebody wants to know when all before this was written.
    Flush(oneshot::Sender<()>),
}

/// The half of a link that writes; clones share it.
#[derive(Clone, Debug)]
pub struct Sender {
    outbox: mpsc::Sender<Outgoing>,
}

impl Sender {
    /// Queues a message; waits while the link is slow.
    ///
    /// # Errors
    ///
    /// The link is closed.
    pub async fn send(&self, frame: &Frame, payload: &[u8]) -> Result<(), Error> {
        let message = Outgoing::Message(codec::encode(frame, payload));
        self.outbox.send(message).await.map_err(|_| Error::new(ErrorKind::Closed))
    }

    /// Waits until all that was queued here is with the operating system, which delivers it also if
    /// the process ends.
    ///
    /// # Errors
    ///
    /// The link is closed.
    pub async fn flush(&self) -> Result<(), Error> {
        let (written, waiting) = oneshot::channel();
        let queued = self.outbox.send(Outgoing::Flush(written)).await;
        queued.map_err(|_| Error::new(ErrorKind::Closed))?;
        waiting.await.map_err(|_| Error::new(ErrorKind::Closed))
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.outbox.closed().await;
    }
}

/// The half of a link that reads.
#[derive(Debug)]
pub struct Receiver {
    stream: SplitStream<Socket>,
    silence_timeout: Duration,
}

impl Receiver {
    /// The next message.
    ///
    /// # Errors
    ///
    /// The link is closed, broken or silent, or the peer sent nonsense.
    pub async fn next(&mut self) -> Result<(Frame, Bytes), Error> {
        loop {
            let message = timeout(self.silence_timeout, self.stream.next())
                .await
                .map_err(|_| Error::new(ErrorKind::TimedOut))?
                .ok_or_else(|| Error::new(ErrorKind::Closed))??;
            match message {
                Message::Binary(bytes) => return codec::decode(bytes),
                Message::Close(_) => return Err(Error::new(ErrorKind::Closed)),
                Message::Text(_) => {
                    return Err(Error::new(ErrorKind::Unexpected("binary messages")));
                }
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
            }
        }
    }
}

/// Opens a link to `address`.
///
/// # Errors
///
/// Nobody is there, or not somebody with the shared key, or not in time.
pub async fn dial(
    config: &Config,
    identity: &Identity,
    address: SocketAddr,
    link_epoch: u64,
) -> Result<Opened, Error> {
    let opening = dial_unbounded(config, identity, address, link_epoch);
    timeout(config.silence_timeout, opening).await.map_err(|_| Error::new(ErrorKind::TimedOut))?
}

/// Opens a link on a connection that was accepted.
///
/// # Errors
///
/// The peer does not prove that it has the shared key, or not in time.
pub async fn accept(
    config: &Config,
    identity: &Identity,
    stream: TcpStream,
) -> Result<Opened, Error> {
    let opening = accept_unbounded(config, identity, stream);
    timeout(config.silence_timeout, opening).await.map_err(|_| Error::new(ErrorKind::TimedOut))?
}

async fn dial_unbounded(
    config: &Config,
    identity: &Identity,
    address: SocketAddr,
    link_epoch: u64,
) -> Result<Opened, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/link");
    let limits = Some(limits(config));
    let opened = tokio_tungstenite::client_async_with_config(url, stream, limits).await;
    let (socket, _) = opened?;
    let (mut sink, stream) = socket.split();
    let mut receiver = Receiver { stream, silence_timeout: config.silence_timeout };
    let (Frame::Challenge(challenge), _) = receiver.next().await? else {
        return Err(Error::new(ErrorKind::Unexpected("a challenge")));
    };
    let hello = hello(config, identity, &challenge, link_epoch);
    sink.send(Message::Binary(codec::encode(&Frame::Hello(hello), &[]))).await?;
    let identity = Identity { instance: challenge.instance, incarnation: challenge.incarnation };
    Ok(open(Peer { identity, link_epoch }, sink, receiver))
}

async fn accept_unbounded(
    config: &Config,
    identity: &Identity,
    stream: TcpStream,
) -> Result<Opened, Error> {
    stream.set_nodelay(true)?;
    let limits = Some(limits(config));
    let socket = tokio_tungstenite::accept_async_with_config(stream, limits).await?;
    let (mut sink, stream) = socket.split();
    let mut receiver = Receiver { stream, silence_timeout: config.silence_timeout };
    let challenge = ChallengeFrame {
        nonce_hex: format!("{:032x}", rand::rng().random::<u128>()),
        instance: identity.instance.clone(),
        incarnation: identity.incarnation,
    };
    let first = codec::encode(&Frame::Challenge(challenge.clone()), &[]);
    sink.send(Message::Binary(first)).await?;
    let (Frame::Hello(hello), _) = receiver.next().await? else {
        return Err(Error::new(ErrorKind::Unexpected("a hello")));
    };
    if !config.keys.accepts(&challenge, &hello) {
        return Err(Error::new(ErrorKind::WrongProof));
    }
    let identity = Identity { instance: hello.instance, incarnation: hello.incarnation };
    Ok(open(Peer { identity, link_epoch: hello.link_epoch }, sink, receiver))
}

fn hello(
    config: &Config,
    identity: &Identity,
    challenge: &ChallengeFrame,
    link_epoch: u64,
) -> HelloFrame {
    let mut hello = HelloFrame {
        instance: identity.instance.clone(),
        incarnation: identity.incarnation,
        link_epoch,
        proof_hex: String::new(),
    };
    hello.proof_hex = config.keys.prove(challenge, &hello);
    hello
}

fn open(peer: Peer, sink: SplitSink<Socket, Message>, receiver: Receiver) -> Opened {
    let (outbox, inbox) = mpsc::channel(OUTBOX_FRAMES);
    tokio::spawn(write_all(sink, inbox));
    Opened { peer, sender: Sender { outbox }, receiver }
}

/// Writes what is queued; flushes only when the queue is empty, so that busy links batch.
async fn write_all(mut sink: SplitSink<Socket, Message>, mut inbox: mpsc::Receiver<Outgoing>) {
    let mut waiting = Vec::new();
    while let Some(first) = inbox.recv().await {
        let mut next = Some(first);
        while let Some(outgoing) = next {
            match outgoing {
                Outgoing::Message(message) => {
                    if sink.feed(Message::Binary(message)).await.is_err() {
                        return;
                    }
                }
                Outgoing::Flush(written) => waiting.push(written),
            }
            next = inbox.try_recv().ok();
        }
        if sink.flush().await.is_err() {
            return;
        }
        for written in waiting.drain(..) {
            // Who does not wait any more need not know.
            let _ = written.send(());
        }
    }
    // The peer may be gone already; there is nobody to tell.
    let _ = sink.close().await;
}

fn limits(config: &Config) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(config.max_message_bytes))
        .max_frame_size(Some(config.max_message_bytes))
}
