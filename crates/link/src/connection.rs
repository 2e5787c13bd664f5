//! Connection of a link: opens it from either side, and provides its two halves.
//! Input: a TCP connection, frames to send, and WebSocket messages from the peer.
//! State: the queue of outgoing messages. Decides when the peer is refused or considered silent.

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
use hooktrestle_stream::Allowance;
use hooktrestle_stream::BoundedStream;
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

/// Maximum number of frames that wait to be written; beyond it, senders wait. Body frames are
/// bounded by credit, and this bounds all other frames.
const OUTBOX_FRAMES: usize = 1_024;

type Socket = WebSocketStream<BoundedStream<TcpStream>>;

/// Settings of a link.
#[derive(Clone, Debug)]
pub struct Config {
    /// Shared keys.
    pub keys: Keys,
    /// Maximum size of a message that is read.
    pub max_message_bytes: usize,
    /// Time without a message after which the peer is considered disconnected; also the timeout of
    /// opening a link.
    pub silence_timeout: Duration,
}

/// Identity that a process claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Name of its instance.
    pub instance: String,
    /// Incarnation of the instance: a random number, drawn at each start.
    pub incarnation: u64,
}

/// The other side of a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Identity of the peer.
    pub identity: Identity,
    /// The link's epoch, which the dialling side chose.
    pub link_epoch: u64,
}

/// A link that has just been opened.
#[derive(Debug)]
pub struct Opened {
    /// The other side.
    pub peer: Peer,
    /// The sending half.
    pub sender: Sender,
    /// The receiving half.
    pub receiver: Receiver,
}

/// Item of the queue of outgoing messages.
#[derive(Debug)]
enum Outgoing {
    Message(Bytes),
    /// Request to be notified when all earlier items have been written.
    Flush(oneshot::Sender<()>),
}

/// Sending half of a link; clones share the same queue.
#[derive(Clone, Debug)]
pub struct Sender {
    outbox: mpsc::Sender<Outgoing>,
}

impl Sender {
    /// Queues a message. Waits while the queue is full.
    ///
    /// # Errors
    ///
    /// The link is closed.
    pub async fn send(&self, frame: &Frame, payload: &[u8]) -> Result<(), Error> {
        let message = Outgoing::Message(codec::encode(frame, payload));
        self.outbox.send(message).await.map_err(|_| Error::new(ErrorKind::Closed))
    }

    /// Waits until all queued messages are passed to the operating system, which delivers them even
    /// if the process ends.
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

/// Receiving half of a link.
#[derive(Debug)]
pub struct Receiver {
    stream: SplitStream<Socket>,
    allowance: Allowance,
    silence_timeout: Duration,
}

impl Receiver {
    /// The next message.
    ///
    /// # Errors
    ///
    /// The link is closed, broken or silent, or the peer sent a malformed message.
    pub async fn next(&mut self) -> Result<(Frame, Bytes), Error> {
        let message = timeout(self.silence_timeout, self.stream.next())
            .await
            .map_err(|_| Error::new(ErrorKind::TimedOut))?
            .ok_or_else(|| Error::new(ErrorKind::Closed))??;
        match message {
            Message::Binary(bytes) => {
                self.allowance.begin_message();
                codec::decode(bytes)
            }
            Message::Close(_) => Err(Error::new(ErrorKind::Closed)),
            // No process sends pings: frames show that a peer is alive.
            Message::Text(_) | Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {
                Err(Error::new(ErrorKind::Unexpected("binary messages")))
            }
        }
    }
}

/// Opens a link to `address`.
///
/// # Errors
///
/// The connection fails or its handshake does not complete in time. A peer that refuses the proof
/// closes the link later, which the [`Receiver`] reports.
pub async fn dial(
    config: &Config,
    identity: &Identity,
    address: SocketAddr,
    link_epoch: u64,
) -> Result<Opened, Error> {
    let opening = dial_unbounded(config, identity, address, link_epoch);
    timeout(config.silence_timeout, opening).await.map_err(|_| Error::new(ErrorKind::TimedOut))?
}

/// Opens a link on an accepted connection.
///
/// # Errors
///
/// The peer does not prove in time that it has a shared key, or the connection fails.
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
    let allowance = Allowance::new(config.max_message_bytes);
    let stream = BoundedStream::new(stream, allowance.clone());
    let opened = tokio_tungstenite::client_async_with_config(url, stream, limits).await;
    let (socket, _) = opened?;
    let (mut sink, stream) = socket.split();
    let mut receiver = Receiver { stream, allowance, silence_timeout: config.silence_timeout };
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
    let allowance = Allowance::new(config.max_message_bytes);
    let stream = BoundedStream::new(stream, allowance.clone());
    let socket = tokio_tungstenite::accept_async_with_config(stream, limits).await?;
    let (mut sink, stream) = socket.split();
    let mut receiver = Receiver { stream, allowance, silence_timeout: config.silence_timeout };
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

/// Writes queued messages. Flushes only when the queue is empty, so that busy links batch writes.
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
            // The waiting call may have been cancelled; then no notification is needed.
            let _ = written.send(());
        }
    }
    // The peer may have disconnected already, so a failure to close is ignored.
    let _ = sink.close().await;
}

fn limits(config: &Config) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(config.max_message_bytes))
        .max_frame_size(Some(config.max_message_bytes))
}
