//! Which backend servers are slow, as the leader of their expert maps found.
//!
//! All ranks of a group wait for the slowest in every pass, so a request at a slow rank makes every
//! request of its group late. Only the leader asks engines how fast they are; it numbers what it
//! finds, and gateways hand the newest on to each other.

use std::collections::BTreeMap;

/// What a leader found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Finding {
    /// The leader's fencing token.
    pub fence: u64,
    /// Rises with each finding of one leader.
    pub number: u64,
    /// Names of the slow servers.
    pub servers: Vec<String>,
}

/// The newest finding for each service.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    by_service: BTreeMap<String, Finding>,
}

impl Findings {
    /// Takes a finding; returns whether it is newer than what was known.
    pub fn take(&mut self, service: &str, finding: &Finding) -> bool {
        let known = self.by_service.get(service).map(|known| (known.fence, known.number));
        let newer = known.is_none_or(|known| (finding.fence, finding.number) > known);
        if newer {
            self.by_service.insert(service.to_owned(), finding.clone());
        }
        newer
    }

    /// All of it, by service.
    pub fn all(&self) -> impl Iterator<Item = (&str, &Finding)> {
        self.by_service.iter().map(|(service, finding)| (service.as_str(), finding))
    }
}
