//! Client of the platform: table service, object store and instance list.
//! Input: calls of other crates and HTTP responses of the services. State: an HTTP client.
//! Decides whether a transaction took effect, and whether a failure is a refusal or an outage.
//!
//! - [`Platform`]: the three services over HTTP.
//! - [`Platform::transact`]: a transaction whose outcome is known, even if its answer was lost.
//! - [`Error`]: distinguishes a refusal from an outage.
//!
//! # Limits
//!
//! Values are JSON. A scan returns all rows written since a revision in one answer; tables hold
//! thousands of rows, not millions.

mod client;
mod error;

pub use client::Committed;
pub use client::Config;
pub use client::Listing;
pub use client::OPERATIONS_TABLE;
pub use client::Platform;
pub use error::Error;
