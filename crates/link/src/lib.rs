//! Authenticated links between two processes.
//!
//! A link is one WebSocket over TCP that carries many requests. Each message is a
//! [`Frame`](hooktrestle_schema::Frame) in CBOR followed by the payload's bytes as they are.
//!
//! - [`codec`]: one message to frame and payload, and back.
//! - [`auth`]: the proof of a shared key that opens a link.
//! - [`dial`] and [`accept`]: open a link, from either side.
//! - [`Sender`], [`Receiver`]: its two halves.
//!
//! # Limits
//!
//! Frames are bounded by [`Config::max_message_bytes`]; a peer that is silent for [`Config::silence_timeout`]
//! counts as gone. Flow control for each request is the caller's, by `Credit` frames.

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
