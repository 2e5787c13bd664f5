//! Stand-ins of the systems around hooktrestle, for tests, examples and manual trials. Their input
//! is HTTP requests and faults to simulate, such as stalls, outages and lost answers. Their state
//! is in memory.
//!
//! - [`platform`]: table service, object store and instance list.
//! - [`engine`]: a model engine that streams an answer token by token.
//! - [`group`]: ranks in lock-step that check their maps in every step.
//! - [`app`]: a plain application service.
//! - [`collector`]: a collector of spans.
//! - [`ledger`]: the requests that ran, against which tests check each claim that one did not run.
//!
//! Each stand-in listens on the address that its program or test gives, usually loopback.

pub mod app;
pub mod collector;
pub mod engine;
pub mod group;
pub mod ledger;
pub mod platform;
mod serve;
