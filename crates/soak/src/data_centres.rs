//! Data centres of the soak: evacuations, and servers that are cold after a start.
//! Input: evacuations, starts of cold servers and arrivals. State: all of them.
//! Decides whether an arrival violates an evacuation or exceeds what a cold server takes.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::ledger::Guarantee;

/// Names of the data centres; runs without faults of groups have two. Servers are started in them in turn.
const DATA_CENTRES: [&str; 3] = ["hall", "barn", "mill"];

/// Requests per second that a cold server takes.
pub const WARM_UP_PER_S: f64 = 4.0;

/// How long a server is cold after its start.
pub const COLD_START: Duration = Duration::from_secs(3);

/// Requirement of the service: in each window at most what the server takes times a ratio, plus a
/// constant excess.
const WINDOW: Duration = Duration::from_secs(1);
const ALLOWED_RATIO: f64 = 1.5;
const ALLOWED_EXCESS: f64 = 5.0;

/// Check of a guarantee by one arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCentreCheck {
    /// The guarantee.
    pub guarantee: Guarantee,
    /// Since when it applies.
    pub since: Instant,
    /// How it is broken, if it is.
    pub violation: Option<String>,
}

/// A server that is cold since a time, with its arrivals in the last window.
#[derive(Clone, Debug)]
struct ColdServer {
    since: Instant,
    arrivals: VecDeque<Instant>,
}

/// Evacuations and cold servers.
#[derive(Clone, Debug, Default)]
pub struct DataCentres {
    /// Data centre of each server.
    by_server: HashMap<String, &'static str>,
    /// The evacuated data centre, and since when the store shows it.
    evacuated: Option<(&'static str, Instant)>,
    cold: HashMap<String, ColdServer>,
    /// Whether there are three data centres.
    has_third: bool,
}

impl DataCentres {
    /// Adds the third data centre.
    pub fn add_third(&mut self) {
        self.has_third = true;
    }

    /// Names of the data centres.
    pub fn names(&self) -> &'static [&'static str] {
        if self.has_third { &DATA_CENTRES } else { &DATA_CENTRES[..2] }
    }

    /// Data centre of the server with a number.
    pub fn of_number(&self, number: u32) -> &'static str {
        self.names()[number as usize % self.names().len()]
    }

    /// Adds a server.
    pub fn add_server(&mut self, id: &str, data_centre: &'static str) {
        self.by_server.insert(id.to_owned(), data_centre);
    }

    /// Records that a server starts cold now.
    pub fn add_cold(&mut self, id: &str) {
        let cold = ColdServer { since: Instant::now(), arrivals: VecDeque::new() };
        self.cold.insert(id.to_owned(), cold);
    }

    /// Records which data centre the store shows as evacuated from now on.
    pub fn set_evacuated(&mut self, data_centre: Option<&'static str>) {
        self.evacuated = data_centre.map(|data_centre| (data_centre, Instant::now()));
    }

    /// Whether a data centre is evacuated.
    pub fn has_evacuation(&self) -> bool {
        self.evacuated.is_some()
    }

    /// Checks a request that reached a server. An evacuation counts once it is older than `bound`.
    pub fn check(&mut self, id: &str, at: Instant, bound: Duration) -> Vec<DataCentreCheck> {
        let data_centre = self.by_server.get(id).copied();
        let evacuation = self.evacuated.filter(|(_, since)| at > *since + bound);
        let evacuation = evacuation.map(|(evacuated, since)| {
            let after = at.duration_since(since);
            let detail = format!("{id}, {after:?} after the evacuation of {evacuated}");
            let violation = (Some(evacuated) == data_centre).then_some(detail);
            DataCentreCheck { guarantee: Guarantee::Evacuation, since, violation }
        });
        evacuation.into_iter().chain(self.check_cold(id, at)).collect()
    }

    fn check_cold(&mut self, id: &str, at: Instant) -> Option<DataCentreCheck> {
        let cold = self.cold.get_mut(id).filter(|cold| at < cold.since + COLD_START)?;
        cold.arrivals.push_back(at);
        while cold.arrivals.front().is_some_and(|first| *first + WINDOW <= at) {
            cold.arrivals.pop_front();
        }
        let allowed = ALLOWED_RATIO * WARM_UP_PER_S * WINDOW.as_secs_f64() + ALLOWED_EXCESS;
        let detail = format!("{id}, {} in a second while it is cold", cold.arrivals.len());
        let violation = (cold.arrivals.len() as f64 > allowed).then_some(detail);
        Some(DataCentreCheck { guarantee: Guarantee::Cold, since: cold.since, violation })
    }
}
