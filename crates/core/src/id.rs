//! Identifiers that cross process boundaries, as small `Copy` types.
//! Input: identifiers of messages. State: the number of the next request of a gateway.
//! Decides the number of each new request.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hooktrestle_schema as schema;

/// The number of a request and of its attempt; unique within one incarnation of the gateway.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId {
    /// Increases during the gateway's incarnation.
    pub number: u64,
    /// Starts at 0; a later attempt replaces all earlier ones.
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

/// Allocates the request numbers of one incarnation.
#[derive(Debug, Default)]
pub struct RequestNumbers(AtomicU64);

impl RequestNumbers {
    /// The next number; each number is returned once.
    pub fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed)
    }
}
