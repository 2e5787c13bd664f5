//! Crash reports as gateways exchange them, and ages whose error is known.
//! Input: what one gateway observed. State: none of its own.
//! Decides which of two ages of the same event is kept.

use crate::clock::Millis;
use crate::direct::fingerprint::Fingerprint;
use crate::util::hash;

/// Error of an age in a message that does not contain one.
pub const UNKNOWN_AGE_ERROR: Millis = Millis(250);

/// Identifies one incarnation of a backend server, with the same value at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerIncarnation(pub u64);

impl ServerIncarnation {
    /// Derived from the server's id and, if the server reports it, its start time.
    pub fn of(server_id: &str, started_unix_ms: Option<u64>) -> ServerIncarnation {
        ServerIncarnation(hash::score(started_unix_ms.unwrap_or_default(), server_id))
    }
}

/// Identifies a service, with the same value at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceNumber(pub u64);

impl ServiceNumber {
    /// Stands for a service that is not known.
    pub const UNKNOWN: ServiceNumber = ServiceNumber(0);

    /// Derived from the service's name.
    pub fn of(service: &str) -> ServiceNumber {
        ServiceNumber(hash::score(0, service))
    }
}

/// Identifies the gateway process that observed a crash, with the same value at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Reporter(pub u64);

impl Reporter {
    /// Stands for all gateways in what the platform stores.
    pub const STORED: Reporter = Reporter(0);
}

/// Identifies a report: the server that crashed, and the gateway process that observed it.
pub type CrashReportId = (ServerIncarnation, Reporter);

/// Progress of a request at a server at the time of its crash. If the same request was there
/// several times, the furthest stage counts: the request did no harm up to that stage.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// The answer had not begun, and the address of the server accepts connections although the
    /// server has crashed: it may have crashed before the request was sent.
    Doubtful,
    /// The answer had not begun: the server may have crashed before the request was sent.
    Waiting,
    /// The answer had begun, and no complete event of it had arrived.
    Starting,
    /// Some of the answer's content had arrived: a complete event, if it is a stream.
    Running,
}

/// A request that was at a server at the time of its crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How long the server had had it at that time.
    pub ran: Millis,
    /// Its progress at that time.
    pub stage: Stage,
}

impl Suspect {
    pub(super) fn merge(self, other: Suspect) -> Suspect {
        let (ran, stage) = (self.ran.max(other.ran), self.stage.max(other.stage));
        Suspect { ran, stage, ..self }
    }
}

/// A crash as one gateway observed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The server.
    pub server: ServerIncarnation,
    /// Its service.
    pub service: ServiceNumber,
    /// The gateway process that observed the crash.
    pub reporter: Reporter,
    /// Time since the reporter's first truncated answer from the server, as known to the sender.
    pub age: Millis,
    /// Upper bound of the error of `age`, in either direction: the time that messages with it may
    /// have been in transit.
    pub age_error: Millis,
    /// The requests at the server.
    pub suspects: Vec<Suspect>,
    /// What was at the server as well, and has ended well since.
    pub outlasted: Vec<Fingerprint>,
}

/// A request that completed, as exchanged between gateways.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cleared {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Time since its completion, as known to the sender.
    pub age: Millis,
}

/// A time, stored as its age at a merge. The time itself may be before the start of this process,
/// which its clock cannot represent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Aged {
    pub(super) age_at_merge: Millis,
    /// Upper bound of the error of the age, in either direction.
    pub(super) error: Millis,
    pub(super) merged_at: Millis,
}

impl Aged {
    pub(super) fn age(self, now: Millis) -> Millis {
        self.age_at_merge + now.since(self.merged_at)
    }

    /// The lowest and the highest age that are possible.
    pub(super) fn bounds(self, now: Millis) -> (Millis, Millis) {
        (self.age(now) - self.error, self.age(now) + self.error)
    }

    /// Keeps the more exact age, and of two that are as exact the lower one.
    pub(super) fn record(&mut self, age: Millis, error: Millis, now: Millis) {
        if (error, age) < (self.error, self.age(now)) {
            *self = Aged { age_at_merge: age, error, merged_at: now };
        }
    }
}
