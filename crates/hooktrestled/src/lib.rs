//! The daemon of hooktrestle, as a library: what `hooktrestled` runs.
//!
//! - [`settings`]: the INI file, checked.
//! - [`gateway`]: the process on an entry instance: callers' HTTP in, links to sidecars out.
//! - [`sidecar`]: the process in a backend server's slot: links in, the backend server behind.
//! - [`config_sync`]: keeps a process at the newest accepted configuration.
//! - [`acceptor`]: turns the operators' edits into the next configuration; runs in gateways.
//! - [`directory`]: the platform's instance list, polled.
//!
//! The processes decide nothing by themselves: they feed the machines of `hooktrestle-core` and
//! carry out what those say.

pub mod acceptor;
mod admin;
mod config_exchange;
pub mod config_sync;
pub mod directory;
mod drain;
pub mod gateway;
pub mod headers;
mod poll;
mod process;
pub mod settings;
pub mod sidecar;
mod traces;
