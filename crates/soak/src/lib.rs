//! A soak: real gateway processes over loopback, before stand-ins for the users' platform, while faults
//! of many kinds overlap. What is promised is checked from what callers and backend servers see.
//!
//! ```text
//! callers ──HTTP──> gateways (processes) ──proxies──> backend servers (stand-ins)
//!                        └──────proxies──────> store (stand-in)
//! ```
//!
//! - [`schedule`]: which troubles come when, drawn from a seed.
//! - [`fleet`]: the gateways, and signals to them; it ends only what it started.
//! - [`site`]: the store and the servers, and what goes wrong with them.
//! - [`ways`]: what goes wrong between the gateways and those.
//! - [`callers`]: who asks, waits, leaves and asks again.
//! - [`ledger`]: what was told to callers, what servers ran, and the promises between the two.
//! - [`limits`]: how much servers say that they take, and what they get.
//! - [`run`]: one run of one seed.
//! - [`shrink`]: the fewest troubles with which a seed still fails.
//!
//! Troubles are the same for a seed on every run; how processes are scheduled is not, so that a seed
//! that fails once may need several runs to fail again.

pub mod backends;
pub mod callers;
pub mod fleet;
pub mod ledger;
pub mod limits;
pub mod network;
pub mod run;
pub mod schedule;
pub mod shrink;
