//! Stand-ins at hooktrestle's outer interfaces, for tests, examples and trials by hand.
//!
//! - [`platform`]: table service, object store and instance list.
//! - [`engine`]: a model engine that streams an answer token by token.
//! - [`group`]: ranks in lock-step that check their maps in every step.
//! - [`app`]: a plain application service.
//! - [`collector`]: takes spans.
//! - [`ledger`]: what really ran: the judge of every claim that a request did not run.
//!
//! Each listens on loopback and can be told to stall, to be down, or to lose an answer. They keep
//! everything in memory.

pub mod app;
pub mod collector;
pub mod engine;
pub mod group;
pub mod ledger;
pub mod platform;
mod serve;
