//! Every decision of hooktrestle, without I/O.
//!
//! No sockets, no clock, no randomness of its own: events and `now` come in, and small enums of
//! what to do next go out. The daemon's actors feed these machines and carry out what they say;
//! tests and benches drive them directly.
//!
//! At a gateway:
//! - [`attempt`]: one request, from its first attempt to its one final answer.
//! - [`routing`]: which backend server gets it.
//! - [`limits`]: what an account may ask for.
//! - [`subset`]: which gateways and sidecars are linked.
//! - [`retry`]: how many attempts failures may cost.
//!
//! At a sidecar:
//! - [`dispatch`]: queues, starts, refuses, and knows what ran.
//! - [`fair_queue`]: whose request goes next.
//! - [`ticket_memory`]: the tickets of requests that are not repeatable.
//!
//! For a group of ranks:
//! - [`lease`]: who leads.
//! - [`map_switch`]: one expert map in every step.
//! - [`popularity`]: which experts are in demand.
//! - [`placement`]: which expert stands on which rank.
//!
//! At a gateway without sidecars:
//! - [`direct`]: routes, backend servers, attempts, repeats, peers.
//!
//! Everywhere:
//! - [`rows`]: the operators' table.
//! - [`acceptance`]: edited rows to the next configuration.
//! - [`config`]: the configuration in force.
//! - [`verdict`]: whether a request may have run.
//! - [`suspension`]: whether the process was suspended.
//! - [`clock`], [`id`], [`util`]: time, names, arenas.

pub mod acceptance;
pub mod attempt;
pub mod clock;
pub mod config;
pub mod direct;
pub mod dispatch;
pub mod fair_queue;
pub mod id;
pub mod lease;
pub mod limits;
pub mod map_switch;
pub mod placement;
pub mod popularity;
pub mod retry;
pub mod routing;
pub mod rows;
pub mod subset;
pub mod suspension;
pub mod ticket_memory;
pub mod util;
pub mod verdict;
