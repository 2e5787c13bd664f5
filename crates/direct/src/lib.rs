//! Gateway that sends requests directly to backend servers, without sidecars on their path.
//! Input: requests of callers, tables of the platform, gossip of peers. State: one [`Gateway`].
//! Its tasks carry out what the rules in [`hooktrestle_core::direct`] decide, on one thread.
//!
//! The path of a request:
//!
//! 1. `callers` accepts connections through `accept` and watches how long they are idle.
//! 2. `request` reads one request and admits it under the configuration in force; `bodies` bounds
//!    the memory that bodies take.
//! 3. `admission_queue` admits a stream if the passes of its service remain short enough.
//! 4. `forward` sends it, with retries where these are allowed, and returns its one answer.
//! 5. `exchange` makes one attempt, over a connection from `connections`.
//!    `second_attempt` makes one beside it, which `overtaking` decides on while other servers answer
//!    later requests.
//! 6. `relay` relays the answer as it arrives, and resumes a truncated stream at another server.
//!
//! `arrivals` handles what has arrived before a timer cuts it off. `request_progress` keeps how far each request is, and `incomplete` logs answers that end incomplete
//! for their callers.
//!
//! Other tasks keep the state up to date:
//!
//! - `table_sync` follows the tables of the platform, and `peers` gossips them to other gateways.
//! - `members_table` keeps the platform's table of gateways, by one gateway for all.
//! - `crash_sync` stores crashes of servers on the platform, with the requests that ran there.
//! - `permits` keeps all gateways together within the limits that servers advertise.
//! - `stalled_groups` polls groups that are stalled, so that their servers are excluded.
//! - `maps` moves experts between the ranks of groups as demand changes, through [`sidecar`], the
//!   process beside each backend server, where there is one.
//! - `endpoints` sends callers the list of gateways.
//!
//! The platform is accessed through one trait, [`platform::Platform`].

mod accept;
pub mod admission_queue;
mod answer_stream;
mod arrivals;
mod bodies;
pub mod bounded;
mod callers;
mod compression;
mod connections;
mod content;
mod crash_sync;
mod delays;
pub mod dial;
mod endpoints;
pub mod engine;
mod event_log;
mod exchange;
mod forward;
mod gateway;
mod headers;
mod incomplete;
mod maps;
mod members_table;
mod metrics;
mod overtaking;
mod pass_through;
mod peers;
mod permits;
pub mod platform;
pub mod process;
mod relay;
mod request;
mod request_progress;
mod room;
mod second_attempt;
pub mod settings;
pub mod sidecar;
pub mod signals;
mod slow_exit;
mod stalled_groups;
mod table_sync;

pub use gateway::Gateway;
pub use peers::room_messages;
