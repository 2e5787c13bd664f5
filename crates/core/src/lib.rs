//! The decision logic of hooktrestle, without I/O, as state machines.
//! Input: events and the current time `now`. State: in memory only, one value per state machine.
//! Output: small enums that say what the caller of the state machine is to do next.
//!
//! The crate opens no sockets, reads no clock and draws no random numbers of its own. The daemon's
//! actors feed events to the state machines and carry out what they return; tests and benches
//! drive the state machines directly.
//!
//! At a gateway:
//! - [`attempt`]: the attempts of one request, up to its one final answer.
//! - [`routing`]: the choice of a backend server for a request.
//! - [`limits`]: rate and concurrency limits of client accounts.
//! - [`subset`]: which gateways and sidecars are linked.
//! - [`retry`]: the budget for retries.
//!
//! At a sidecar:
//! - [`dispatch`]: queues, starts and refuses requests, and records which of them ran.
//! - [`fair_queue`]: the order in which queued requests start.
//! - [`ticket_memory`]: deduplication of requests that are not repeatable.
//!
//! For a group of ranks:
//! - [`lease`]: leader election.
//! - [`map_switch`]: the switch to a new expert map, in the same step at all ranks.
//! - [`popularity`]: estimates of the load of each expert.
//! - [`placement`]: the assignment of experts to ranks.
//!
//! At a gateway without sidecars:
//! - [`direct`]: routes, backend servers, attempts, retries, peers.
//!
//! In all processes:
//! - [`rows`]: kinds and keys of the rows that operators edit.
//! - [`acceptance`]: merges edited rows into the next configuration.
//! - [`config`]: the configuration in force.
//! - [`verdict`]: whether a request may have run.
//! - [`suspension`]: detects that the process was suspended.
//! - [`clock`], [`id`], [`util`]: time, identifiers, arenas.

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
