//! The whole path in one process: stand-ins for the platform and the backend servers, and real
//! gateways and sidecars, all on loopback with free ports.
//!
//! - [`Fleet`]: starts and stops processes, edits rows, waits until they are in force.
//! - [`Caller`]: a caller, as docs/CALLERS.md describes one.
//!
//! # Limits
//!
//! "Processes" are tasks: killing one cuts its connections off, but its memory is not a separate
//! address space.

pub mod caller;
mod fleet;

pub use caller::Caller;
pub use caller::Outcome;
pub use fleet::Backend;
pub use fleet::Fleet;
pub use fleet::Intervals;
pub use fleet::LINK_KEY;
pub use fleet::key_sha256_hex;
