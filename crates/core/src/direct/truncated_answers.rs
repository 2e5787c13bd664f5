//! Truncated answers of one incarnation of a backend server, as one gateway observed them.
//! Input: truncated and complete answers, with their times. State: the requests whose answers were
//! truncated. Decides, once the server has crashed, when it did and which requests were there.
//!
//! A crash is detected late if the platform's server list is late. Requests are sent to the server
//! until then, and their answers are truncated too. So the time of the crash is that of the first
//! truncated answer that no complete answer followed, however long ago it was. Requests that were
//! sent later were not there.

use crate::clock::Millis;
use crate::direct::crashes::Stage;
use crate::direct::crashes::Suspect;

/// How long requests with truncated answers are stored. The server list may take three heartbeats
/// to show that a server is gone, 3.6 s in the users' deployment, and gossip between gateways takes
/// more.
pub const RETENTION: Millis = Millis(6_000);

/// Truncated answers of one incarnation of a server.
#[derive(Clone, Debug, Default)]
pub struct TruncatedAnswers {
    /// The requests that have not been reported, with the time at which each answer was truncated.
    suspects: Vec<(Millis, Suspect)>,
    /// Time of the first truncated answer since the server was last known to be up, still stored or
    /// not.
    first_at: Option<Millis>,
    /// Time of the last truncated answer.
    last_at: Millis,
    /// Time of the crash, once it was reported.
    crashed_at: Option<Millis>,
}

impl TruncatedAnswers {
    /// Records a truncated answer, and removes those that were truncated long before it.
    pub fn add(&mut self, suspect: Suspect, now: Millis) {
        self.suspects.retain(|(at, _)| now.since(*at) < RETENTION);
        self.suspects.push((now, suspect));
        self.first_at.get_or_insert(now);
        self.last_at = now;
    }

    /// Whether no answer was truncated since the server was last known to be up.
    pub fn is_empty(&self) -> bool {
        self.first_at.is_none() && self.crashed_at.is_none()
    }

    /// Whether the last truncated answer is too old to be evidence of a crash.
    pub fn is_expired(&self, now: Millis) -> bool {
        now.since(self.last_at) >= RETENTION
    }

    /// Records that the server answered a request sent at `sent_at`: it had not crashed by then.
    pub fn record_answer(&mut self, sent_at: Millis) {
        self.suspects.retain(|(at, _)| *at > sent_at);
        if self.first_at.is_some_and(|first_at| first_at <= sent_at) {
            self.first_at = self.suspects.first().map(|(at, _)| *at);
        }
    }

    /// The server has crashed. Returns the time of the crash, and the requests that were there and
    /// are not reported yet. A request that was sent later and whose answer did not begin was not
    /// there.
    pub fn confirm_crash(&mut self) -> (Millis, Vec<Suspect>) {
        let (crashed_at, there) = self.if_crashed();
        self.crashed_at = Some(crashed_at);
        self.suspects.clear();
        (crashed_at, there)
    }

    /// What [`TruncatedAnswers::confirm_crash`] would return, if it is not known whether the server has
    /// crashed.
    pub fn if_crashed(&self) -> (Millis, Vec<Suspect>) {
        let crashed_at = self.crashed_at.or(self.first_at).unwrap_or(self.last_at);
        let there = self.suspects.iter().filter_map(|(at, suspect)| {
            let sent_at = *at - suspect.ran;
            let was_there = suspect.stage > Stage::Waiting || sent_at <= crashed_at;
            was_there.then(|| Suspect { ran: crashed_at - sent_at, ..*suspect })
        });
        (crashed_at, there.collect())
    }
}
