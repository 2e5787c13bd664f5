//! Authenticated links between two processes.
//! Input: a TCP connection, shared keys, and frames with their payloads.
//! State: the queue of outgoing messages. Decides whether a peer is authenticated, and still alive.
//!
//! A link is one WebSocket over TCP that carries many requests. Each message is a
//! [`Frame`](hooktrestle_schema::Frame) in CBOR, followed by the raw bytes of the payload.
//!
//! - [`codec`]: encodes and decodes messages.
//! - [`auth`]: the proof of a shared key that opens a link.
//! - [`dial`] and [`accept`]: open a link from either side.
//! - [`Sender`], [`Receiver`]: the two halves of a link.
//!
//! # Limits
//!
//! Messages are bounded by [`Config::max_message_bytes`]. A peer that is silent for
//! [`Config::silence_timeout`] is considered disconnected. Flow control for each request is left to
//! the users of a link, by `Credit` frames.

pub mod auth;
pub mod codec;
mod connection;
mod error;

pub use connection::Config;
pub use connection::Identity;
pub use connection::Opened;
pub use connection::Peer;
pub use connection::Receiver;
pub use connection::Sender;
pub use connection::accept;
pub use connection::dial;
pub use error::Error;
