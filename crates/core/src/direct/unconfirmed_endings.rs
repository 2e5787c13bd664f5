//! Attempts at one backend server that ended before their answer was complete, while the server was
//! up as far as known. Input: these attempts, and the answers of the server. State: the attempts
//! until the server answers. Decides which attempts did not crash the server.
//!
//! When a caller disconnects, its request leaves the server at once, and a crash just then would
//! not be observed. Only an answer to a request that was sent later shows that the server is up.

use crate::clock::Millis;
use crate::direct::crashes::Extent;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::truncated_answers::RETENTION;

/// Maximum number of attempts that are stored for one server; the oldest are removed first.
const MAX_ATTEMPTS: usize = 64;

/// An attempt that ended at `at`, after the request had got as far as `extent`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedAttempt {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How far it got.
    pub extent: Extent,
    /// When the attempt ended.
    pub at: Millis,
}

/// Attempts at one server that no answer of the server has confirmed.
#[derive(Clone, Debug, Default)]
pub struct UnconfirmedEndings(Vec<EndedAttempt>);

impl UnconfirmedEndings {
    /// Records an attempt, and removes those that ended long before it.
    pub fn add(&mut self, attempt: EndedAttempt) {
        self.0.retain(|one| attempt.at.since(one.at) < RETENTION);
        if self.0.len() == MAX_ATTEMPTS {
            self.0.remove(0);
        }
        self.0.push(attempt);
    }

    /// The server answered a request sent at `sent_at`. Returns the attempts that ended before.
    pub fn confirm(&mut self, sent_at: Millis) -> Vec<EndedAttempt> {
        self.0.extract_if(.., |one| one.at <= sent_at).collect()
    }

    /// Whether all attempts ended too long ago to be confirmed.
    pub fn is_expired(&self, now: Millis) -> bool {
        self.0.iter().all(|one| now.since(one.at) >= RETENTION)
    }
}
