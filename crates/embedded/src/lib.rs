//! A complete deployment in one process: real gateways and sidecars, and stand-ins of the platform
//! and the backend servers, on loopback with free ports. Its input is rows and requests; its state
//! is the running processes.
//!
//! - [`Fleet`]: starts and stops processes, edits rows, waits until they are in force.
//! - [`Caller`]: the HTTP client of a caller, as docs/CALLERS.md describes one.
//!
//! # Limits
//!
//! The processes are tasks. Dropping one closes its connections, but the tasks share one address
//! space.

pub mod caller;
mod fleet;

pub use caller::Caller;
pub use caller::Outcome;
pub use fleet::Backend;
pub use fleet::Fleet;
pub use fleet::Intervals;
pub use fleet::LINK_KEY;
pub use fleet::key_sha256_hex;
