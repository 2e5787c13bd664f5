//! Checks of requests that crash servers, and of sound requests beside them.
//! Input: crash causes, requests and arrivals. State: that of the ledger.
//! Decides which arrivals and sound requests count: those of gateways in touch.

use std::collections::BTreeSet;

use hooktrestle_users_standin::server::ReceivedRequest;
use hooktrestle_users_standin::server::Server;
use tokio::time::Instant;

use crate::crash_shapes::CrashShape;
use crate::crashing::CrashCause;
use crate::crashing::CrashCheck;
use crate::ledger::Guarantee;
use crate::ledger::Ledger;
use crate::schedule::FaultKind;

/// Faults of servers during which crashing requests are checked: they do not affect the messages that
/// gateways receive.
const SERVER_FAULTS: [FaultKind; 9] = [
    FaultKind::ServerRefuses,
    FaultKind::ServerFails,
    FaultKind::ServerLosesAnswers,
    FaultKind::ServerAnswersTwice,
    FaultKind::ServerForges,
    FaultKind::ServerAsksRest,
    FaultKind::ServerSaysItLeaves,
    FaultKind::ServerNamesLimit,
    FaultKind::ServerReturnsCold,
];

/// Faults during which sound requests beside are checked too: these affect only gateways that are not in
/// touch, or servers for a moment.
const ALLOWED_FOR_NEIGHBOURS: [FaultKind; 13] = [
    FaultKind::Kill,
    FaultKind::Off,
    FaultKind::KillAll,
    FaultKind::KillSeries,
    FaultKind::Pause,
    FaultKind::Stop,
    FaultKind::PlannedSeries,
    FaultKind::HangUp,
    FaultKind::ServerDrain,
    FaultKind::ServerCrash,
    FaultKind::CrashingRequest,
    FaultKind::CrashingPart,
    FaultKind::ServerUnframed,
];

impl Ledger {
    /// Records that the gateway of a request has not run for long enough to have the current state.
    pub fn record_out_of_touch(&self, id: &str) {
        self.out_of_touch.borrow_mut().insert(id.to_owned());
    }

    /// Records what crashes servers.
    pub fn add_crash_cause(&self, cause: CrashCause, shape: Option<CrashShape>) {
        self.crashing.borrow_mut().add(cause, shape);
    }

    /// The labels of the shapes of parts that crashed servers.
    pub fn reached_shapes(&self) -> BTreeSet<&'static str> {
        self.crashing.borrow().reached_shapes()
    }

    /// Records that a caller sends a request that crashes servers.
    pub fn record_crashing_sent(&self, cause: &CrashCause) {
        self.crashing.borrow_mut().record_sent(cause);
    }

    /// Whether a cause has crashed enough servers to be identified.
    pub fn is_identified(&self, cause: &CrashCause) -> bool {
        self.poll();
        self.crashing.borrow().is_identified(cause)
    }

    /// Whether a part of prompts has crashed enough servers to be identified.
    pub fn has_identified_part(&self) -> bool {
        self.poll();
        self.crashing.borrow().has_identified_part()
    }

    /// Records the end of a sound request whose prompt has the same first part as those that crash
    /// servers.
    pub fn record_neighbour(&self, id: &str, sent_at: Instant) {
        let is_in_touch = self.no_faults_but(&ALLOWED_FOR_NEIGHBOURS, sent_at)
            && !self.out_of_touch.borrow().contains(id);
        if is_in_touch {
            let reached_server = self.was_offered(id);
            self.crashing.borrow_mut().record_neighbour(sent_at, reached_server);
        }
    }

    /// Checks whether sound requests were served beside those that crash servers, at the end of the
    /// run; returns what each part that crashed servers came to.
    pub fn check_neighbours(&self) -> String {
        let crashing = self.crashing.borrow();
        for violation in crashing.check_neighbours(self.bounds.propagation) {
            match violation {
                None => self.record_check(Guarantee::Neighbours),
                Some(detail) => self.report(Guarantee::Neighbours, detail),
            }
        }
        crashing.summary()
    }

    /// Checks an arrival.
    pub(super) fn check_crashing(&self, server: &Server, arrival: &ReceivedRequest) {
        let propagation = self.bounds.propagation;
        let allowed = [&ALLOWED_FOR_NEIGHBOURS[..], &SERVER_FAULTS].concat();
        let is_in_touch = self.no_faults_but(&allowed, arrival.at - propagation)
            && !self.out_of_touch.borrow().contains(arrival.id());
        let mut crashing = self.crashing.borrow_mut();
        match crashing.check(server, arrival, propagation, is_in_touch) {
            CrashCheck::NotCounted => {}
            CrashCheck::Identified => self.record_check(Guarantee::Crashing),
            CrashCheck::Exceeded(detail) => self.report(Guarantee::Crashing, detail),
        }
    }
}
