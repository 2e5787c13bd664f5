//! Attempts at one backend server that ended before their answer was complete, while the server was
//! up as far as known. Input: these attempts, and the answers of the server. State: the attempts
//! until the server answers. Decides which attempts did not crash the server.
//!
//! When a caller disconnects, its request leaves the server at once, and a crash just then would
//! not be observed. Only an answer to a request that was sent later shows that the server is up. If
//! the server crashes instead, parts of the prompts of these requests may be the cause.

use crate::clock::Millis;
use crate::direct::crashes::Extent;
use crate::direct::crashes::Stage;
use crate::direct::crashes::Suspect;
use crate::direct::fingerprint::Fingerprint;
use crate::direct::fingerprint::FingerprintKind;
use crate::direct::truncated_answers::RETENTION;

/// Maximum number of requests and parts whose attempts are stored for one server; the oldest are
/// removed first.
const MAX_ATTEMPTS: usize = 256;

/// How long a server may go on with a request whose caller has disconnected.
const MAX_LINGER: Millis = Millis(1_000);

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

    /// Removes and returns the attempts that ended so long ago that the server would no longer be listed
    /// if it had crashed then.
    pub fn take_expired(&mut self, now: Millis) -> Vec<EndedAttempt> {
        self.0.extract_if(.., |one| now.since(one.at) >= RETENTION).collect()
    }

    /// When the last attempt ended.
    pub fn last_at(&self) -> Option<Millis> {
        self.0.iter().map(|one| one.at).max()
    }

    /// The server crashed at `crashed_at`. Removes all attempts, and returns the parts of prompts that
    /// may have been there. Callers that disconnect send the same requests again and again, so that
    /// whole requests are at crashes by chance.
    pub fn at_crash(&mut self, crashed_at: Millis) -> Vec<Suspect> {
        let ended = self.0.drain(..);
        let parts = ended.filter(|one| one.fingerprint.kind() == FingerprintKind::Part);
        let suspects = parts.filter(|one| crashed_at.since(one.at) <= MAX_LINGER).map(|one| {
            let (stage, ran) = match one.extent {
                Extent::Completed => (Stage::Running, Millis::ZERO),
                Extent::Ended(stage, ran) => (stage, ran),
            };
            (one.at - ran, Suspect { fingerprint: one.fingerprint, ran, stage })
        });
        let was_there =
            |sent_at: Millis, one: &Suspect| one.stage > Stage::Waiting || sent_at <= crashed_at;
        suspects.filter(|(sent_at, one)| was_there(*sent_at, one)).map(|(_, one)| one).collect()
    }

    /// Whether all attempts ended too long ago to be confirmed.
    pub fn is_expired(&self, now: Millis) -> bool {
        self.0.iter().all(|one| now.since(one.at) >= RETENTION)
    }
}
