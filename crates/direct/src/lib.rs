//! A gateway that sends requests straight to backend servers, with no process of ours beside them.
//!
//! One thread, one [`Gateway`] that all tasks share, and tasks that carry out what
//! [`hooktrestle_core::direct`] decides. The way of a request:
//!
//! 1. `callers` takes connections from `accept` and watches how long they rest.
//! 2. `request` reads one request and admits it under the configuration in force.
//! 3. `entrance` lets a stream in as far as the passes of its service bear it.
//! 4. `forward` sends it, again where that is allowed, and finds its one answer.
//! 5. `exchange` is one attempt, over a connection from `connections`.
//! 6. `relay` passes the answer on as it comes, and takes up a broken stream elsewhere.
//!
//! Beside it, `table_sync` keeps the tables of the platform up to date, `peers` exchanges them with
//! other gateways, `crash_sync` stores on the platform which requests crash servers, `permits`
//! holds all gateways together to the limits that servers name, `maps` moves experts between the ranks
//! of groups as demand changes, through [`sidecar`], the process beside each backend server, where there
//! is one, and `endpoints` tells callers which gateways there are. What the platform is like stands
//! behind one trait, [`platform::Platform`].

mod accept;
mod callers;
mod compression;
mod connections;
mod crash_sync;
pub mod dial;
mod endpoints;
pub mod engine;
pub mod entrance;
mod exchange;
mod forward;
mod gateway;
mod headers;
mod journal;
mod maps;
mod metrics;
mod peers;
mod permits;
pub mod platform;
pub mod process;
mod relay;
mod request;
pub mod settings;
pub mod sidecar;
mod standing;
mod table_sync;

pub use gateway::Gateway;
