//! Small `Copy` names for what crosses process boundaries.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hooktrestle_schema as schema;

/// A request as its gateway numbers it, with the attempt; unique within one incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId {
    /// Counts up over the gateway's life.
    pub number: u64,
    /// Counts from 0; a later attempt replaces all earlier ones.
    pub attempt: u32,
}

impl From<&schema::RequestId> for RequestId {
    fn from(id: &schema::RequestId) -> RequestId {
        RequestId { number: id.number, attempt: id.attempt }
    }
}

impl From<RequestId> for schema::RequestId {
    fn from(id: RequestId) -> schema::RequestId {
        schema::RequestId { number: id.number, attempt: id.attempt }
    }
}

/// Gives out the numbers of one incarnation's requests.
#[derive(Debug, Default)]
pub struct RequestNumbers(AtomicU64);

impl RequestNumbers {
    /// The next number; never the same one twice.
    pub fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed)
    }
}
