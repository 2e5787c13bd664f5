//! Soak test: real gateway processes serve generated requests on loopback while faults overlap.
//! Input: a seed, a run configuration and kinds of faults. State: the requests sent and those that
//! backend servers received. Decides which guarantees of the service were violated.
//!
//! The store and the backend servers are stand-ins for the users' platform:
//!
//! ```text
//! callers ──HTTP──> gateways (processes) ──proxies──> backend servers (stand-ins)
//!                        └──────proxies──────> store (stand-in)
//! ```
//!
//! - [`schedule`]: which faults occur when, drawn from a seed.
//! - [`fleet`]: the gateway processes and signals to them; it stops only processes that it started.
//! - [`attempts`]: the servers that run one request, and the time that they get.
//! - [`backends`]: the store and the backend servers, and their faults.
//! - [`endless`]: peers that send without end.
//! - [`firsts_pause`]: silence of the store before gateways that others rely on are suspended.
//! - [`losses`]: the answers that callers lost around stops, and why.
//! - [`network`]: faults of the connections between gateways and these.
//! - [`callers`]: the clients that send requests, and wait for answers or disconnect.
//! - [`configurations`]: the configurations that the operator writes.
//! - [`crashing`]: requests and parts of prompts that crash servers, and what they still reach.
//! - [`crash_shapes`]: where servers end under such parts, and how requests with them are sent.
//! - [`ledger`]: the answers to callers, the requests that servers ran, and the checks of the
//!   guarantees.
//! - [`bounds`]: the time bounds of these guarantees.
//! - [`data_centres`]: evacuations, and what servers take while they are cold.
//! - [`limits`]: the rates that servers advertise as their limits, and the rates that they receive.
//! - [`overload`]: bursts of callers beyond the room of the servers.
//! - [`retries`]: the retries in every window, and their bound.
//! - [`run`]: one run of one seed.
//! - [`shrink`]: the fewest faults with which a seed still fails.
//!
//! A seed draws the same faults on every run. The scheduling of processes differs between runs, so
//! that a seed that fails once may need several runs to fail again.

pub mod attempts;
pub mod backends;
pub mod bounds;
pub mod callers;
pub mod configurations;
pub mod crash_shapes;
pub mod crashing;
pub mod data_centres;
pub mod endless;
pub mod firsts_pause;
pub mod fleet;
pub mod ledger;
pub mod limits;
pub mod losses;
pub mod network;
pub mod overload;
pub mod retries;
pub mod run;
pub mod schedule;
pub mod shrink;
