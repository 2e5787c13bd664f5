//! Which backend servers are slow, as the leader of their expert maps found.
//!
//! All ranks of a group wait for the slowest in every pass, so a request at a slow rank makes every
//! request of its group late. Only the leader asks engines how fast they are; it numbers what it
//! finds, and gateways hand the newest on to each other.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// How long a finding holds. SlowServerReports are told each second; one that leads no more may have told the
/// last.
pub const REPORT_LIFETIME: Millis = Millis(4_000);

/// What a leader found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlowServerReport {
    /// The leader's fencing token.
    pub fencing_token: u64,
    /// Rises with each finding of one leader.
    pub number: u64,
    /// Names of the slow servers.
    pub servers: Vec<String>,
    /// Time since it was found, as far as the one who tells has heard.
    pub age: Millis,
}

/// The newest finding for each service.
#[derive(Clone, Debug, Default)]
pub struct SlowServerReports {
    /// With the time at which each was taken.
    by_service: BTreeMap<String, (SlowServerReport, Millis)>,
}

impl SlowServerReports {
    /// Takes a finding; returns whether it holds and is newer than what was known. One that holds no
    /// more is not taken: whoever has just started is told of servers that were slow long ago, too.
    pub fn apply(&mut self, service: &str, finding: &SlowServerReport, now: Millis) -> bool {
        let known =
            self.by_service.get(service).map(|(known, _)| (known.fencing_token, known.number));
        let newer = known.is_none_or(|known| (finding.fencing_token, finding.number) > known);
        let holds = finding.age < REPORT_LIFETIME;
        if newer && holds {
            self.by_service.insert(service.to_owned(), (finding.clone(), now));
        }
        newer && holds
    }

    /// Those that hold, by service, each with its age.
    pub fn current(&self, now: Millis) -> impl Iterator<Item = (&str, SlowServerReport)> {
        let aged = self.by_service.iter().map(move |(service, (finding, taken_at))| {
            let age = finding.age + now.since(*taken_at);
            (service.as_str(), SlowServerReport { age, ..finding.clone() })
        });
        aged.filter(|(_, finding)| finding.age < REPORT_LIFETIME)
    }
}
