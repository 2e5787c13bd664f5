//! Which backend servers are slow, as the leader of their expert maps found.
//!
//! All ranks of a group wait for the slowest in every pass, so a request at a slow rank makes every
//! request of its group late. Only the leader asks engines how fast they are; it numbers what it
//! finds, and gateways hand the newest on to each other.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// How long a finding holds. Findings are told each second; one that leads no more may have told the
/// last.
pub const LASTS: Millis = Millis(4_000);

/// What a leader found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Finding {
    /// The leader's fencing token.
    pub fence: u64,
    /// Rises with each finding of one leader.
    pub number: u64,
    /// Names of the slow servers.
    pub servers: Vec<String>,
    /// Time since it was found, as far as the one who tells has heard.
    pub age: Millis,
}

/// The newest finding for each service.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// With the time at which each was taken.
    by_service: BTreeMap<String, (Finding, Millis)>,
}

impl Findings {
    /// Takes a finding; returns whether it holds and is newer than what was known. One that holds no
    /// more is not taken: whoever has just started is told of servers that were slow long ago, too.
    pub fn take(&mut self, service: &str, finding: &Finding, now: Millis) -> bool {
        let known = self.by_service.get(service).map(|(known, _)| (known.fence, known.number));
        let newer = known.is_none_or(|known| (finding.fence, finding.number) > known);
        let holds = finding.age < LASTS;
        if newer && holds {
            self.by_service.insert(service.to_owned(), (finding.clone(), now));
        }
        newer && holds
    }

    /// Those that hold, by service, each with its age.
    pub fn all(&self, now: Millis) -> impl Iterator<Item = (&str, Finding)> {
        let aged = self.by_service.iter().map(move |(service, (finding, taken_at))| {
            let age = finding.age + now.since(*taken_at);
            (service.as_str(), Finding { age, ..finding.clone() })
        });
        aged.filter(|(_, finding)| finding.age < LASTS)
    }
}
