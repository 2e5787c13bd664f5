//! Configurations that the operator writes, each with routes by which its version shows.
//! Input: acceptances by the store. State: when the store accepted each version.
//! Decides the routes of each version, and which version is due at a time.

use std::cell::RefCell;

use hooktrestle_users_standin::configuration_with;
use serde_json::Value;
use tokio::time::Instant;

/// Number of versions for which the route of a version lasts: more than are written during a fault.
pub const LASTING_ROUTES: u64 = 100;

/// The configurations that the store accepted.
#[derive(Debug, Default)]
pub struct Configurations {
    /// When the store accepted each version, from version 1 on.
    accepted: RefCell<Vec<Instant>>,
}

impl Configurations {
    /// The configuration to write next.
    pub fn next(&self) -> Value {
        let version = self.newest() + 1;
        let oldest = version.saturating_sub(LASTING_ROUTES) + 1;
        let lasting = (oldest..=version).map(lasting_route_of);
        let routes: Vec<String> = lasting.chain([route_of(version)]).collect();
        let routes: Vec<&str> = routes.iter().map(String::as_str).collect();
        configuration_with(version, &routes)
    }

    /// Records that the store has accepted the next version.
    pub fn record_accepted(&self) {
        self.accepted.borrow_mut().push(Instant::now());
    }

    /// The newest version; 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.accepted.borrow().len() as u64
    }

    /// The newest version that the store accepted before `time`; 0 if there is none.
    pub fn newest_before(&self, time: Instant) -> u64 {
        self.accepted.borrow().partition_point(|accepted_at| *accepted_at < time) as u64
    }
}

/// The route that this version and the next [`LASTING_ROUTES`] have.
pub fn lasting_route_of(version: u64) -> String {
    format!("since{version}")
}

/// The route that only this version has.
pub fn route_of(version: u64) -> String {
    format!("v{version}")
}
