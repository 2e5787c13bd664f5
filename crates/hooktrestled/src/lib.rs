//! The gateway and sidecar processes of the `hooktrestled` daemon, as a library. Their input is a
//! settings file, HTTP requests, frames on links, and the platform's tables and instance list;
//! their state is connections, tasks and the configuration in force. They make no decisions of
//! their own: they pass events to the state machines of `hooktrestle-core` and carry out the
//! returned actions.
//!
//! - [`settings`]: reads and checks the INI file.
//! - [`gateway`]: the process on an entry instance: HTTP from callers, links to sidecars.
//! - [`sidecar`]: the process beside a backend server: links from gateways, requests to the backend
//!   server.
//! - [`config_sync`]: follows the newest accepted configuration.
//! - [`acceptor`]: turns the operators' edits into the next configuration; runs in gateways.
//! - [`directory`]: polls the platform's instance list.
//! - [`headers`]: names of the callers' HTTP headers, and which headers are forwarded.

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
