//! Reports of slow backend servers from the leaders of their expert maps.
//! It stores the newest report for each service, with its age.
//! This module decides which reports are newer than the stored ones and still valid.
//!
//! All ranks of a group wait for the slowest one in every pass, so a request at a slow rank delays
//! every request of its group. Only the leader asks engines how fast they are. It numbers its
//! reports, and gateways gossip the newest ones.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// Time for which a report is valid. A leader sends one each second; a gateway that has lost its
/// leadership may have sent the last one.
pub const REPORT_LIFETIME: Millis = Millis(4_000);

/// Slow servers of a service, as a leader detected them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlowServerReport {
    /// The leader's fencing token.
    pub fencing_token: u64,
    /// Rises with each report of one leader.
    pub number: u64,
    /// Names of the slow servers.
    pub servers: Vec<String>,
    /// Age of the report, as far as the sender knows.
    pub age: Millis,
}

/// The newest report for each service.
#[derive(Clone, Debug, Default)]
pub struct SlowServerReports {
    /// With the time at which each was stored.
    by_service: BTreeMap<String, (SlowServerReport, Millis)>,
}

impl SlowServerReports {
    /// Stores a report; returns whether it is valid and newer than the known one. An expired report
    /// is ignored: a gateway that has just started also receives reports of servers that were slow
    /// long ago.
    pub fn apply(&mut self, service: &str, report: &SlowServerReport, now: Millis) -> bool {
        let known =
            self.by_service.get(service).map(|(known, _)| (known.fencing_token, known.number));
        let newer = known.is_none_or(|known| (report.fencing_token, report.number) > known);
        let valid = report.age < REPORT_LIFETIME;
        if newer && valid {
            self.by_service.insert(service.to_owned(), (report.clone(), now));
        }
        newer && valid
    }

    /// The valid reports by service, each with its present age.
    pub fn current(&self, now: Millis) -> impl Iterator<Item = (&str, SlowServerReport)> {
        let aged = self.by_service.iter().map(move |(service, (report, stored_at))| {
            let age = report.age + now.since(*stored_at);
            (service.as_str(), SlowServerReport { age, ..report.clone() })
        });
        aged.filter(|(_, report)| report.age < REPORT_LIFETIME)
    }
}
