//! A load balancer for expert-parallel model groups.
//!
//! This crate re-exports the libraries that other programs build on. It holds no code of its own.
//! The programs are `hooktrestled` (the daemon) and `hooktrestle` (the operators' tool).
//!
//! - [`core`]: the decisions, without I/O.
//! - [`schema`]: the types of messages, rows and settings.
//!
//! # Example
//!
//! The order in which a busy backend server starts the requests of two client accounts:
//!
//! ```
//! use hooktrestle::core::clock::Millis;
//! use hooktrestle::core::fair_queue::Entry;
//! use hooktrestle::core::fair_queue::FairQueue;
//! use hooktrestle::core::fair_queue::FlowId;
//!
//! let entry = |key, flow| Entry {
//!     key,
//!     flow: FlowId(flow),
//!     weight: 100,
//!     cost_tokens: 10,
//!     priority: 0,
//!     arrived: Millis(0),
//! };
//! let mut queue = FairQueue::default();
//! queue.push(entry("large-1", 1));
//! queue.push(entry("large-2", 1));
//! queue.push(entry("small-1", 2));
//! let order: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|entry| entry.key).collect();
//! assert_eq!(order, ["large-1", "small-1", "large-2"]);
//! ```

pub use hooktrestle_core as core;
pub use hooktrestle_schema as schema;
