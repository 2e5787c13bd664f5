//! Checks of a whole run: retries, attempts, closed connections and bursts of callers.
//! Input: the requests, arrivals and faults of the ledger. State: connections that were closed.
//! Decides whether their totals are within their bounds.

use std::collections::BTreeMap;
use std::collections::HashMap;

use hooktrestle_users_standin::MAX_ATTEMPTS;
use tokio::time::Instant;

use crate::attempts;
use crate::attempts::Attempt;
use crate::attempts::Excess;
use crate::attempts::SentRequest;
use crate::ledger::Guarantee;
use crate::ledger::Ledger;
use crate::ledger::SETTLE_TIME;
use crate::ledger::Verdict;
use crate::ledger::WatchedServer;
use crate::losses;
use crate::losses::Cause;
use crate::losses::ServerRun;
use crate::retries;
use crate::retries::RetryBound;
use crate::retries::RetryPeak;
use crate::schedule::FaultKind;
use crate::schedule::PLANNED;

/// Number of connections that gateways may close before the answer, although a sound server has
/// received the request.
const MAX_CLOSED: usize = 3;

/// Faults of servers that do not excuse lost answers of others.
const AT_SERVERS: [FaultKind; 10] = [
    FaultKind::GroupTrouble,
    FaultKind::ServerEnds,
    FaultKind::LockStepRelease,
    FaultKind::ServerCrash,
    FaultKind::ServerReturnsCold,
    FaultKind::ServerRefuses,
    FaultKind::ServerFails,
    FaultKind::ServerLosesAnswers,
    FaultKind::ServerAnswersTwice,
    FaultKind::ServerForges,
];

/// Faults of gateways. At other gateways they excuse no closed connection.
const AT_GATEWAYS: [FaultKind; 9] = [
    FaultKind::Kill,
    FaultKind::Off,
    FaultKind::KillAll,
    FaultKind::KillSeries,
    FaultKind::Pause,
    FaultKind::Stop,
    FaultKind::HangUp,
    FaultKind::PlannedSeries,
    FaultKind::StopAgain,
];

impl Ledger {
    /// Checks what became of bursts of callers, at the end of the run.
    pub fn check_overload(&self) {
        for (guarantee, violation) in self.overload.check(&self.offered.borrow()) {
            match violation {
                None => self.record_check(guarantee),
                Some(detail) => self.report(guarantee, detail),
            }
        }
    }

    /// Checks the number of retries in each window, at the end of the run; returns the window that
    /// came nearest to the bound.
    pub fn check_retries(&self, bound: RetryBound) -> RetryPeak {
        let sent = self.requests.borrow().values().map(|request| request.sent_at).collect();
        let servers = self.servers.borrow();
        let received = servers.iter().flat_map(|watched| watched.server.received());
        let received = received.filter(|one| !one.id().is_empty());
        let arrivals = received.map(|one| (one.at, one.id().to_owned())).collect();
        let peak = retries::peak(sent, arrivals, bound);
        if peak.share() > 1.0 {
            let RetryPeak { retries, allowed } = peak;
            let detail = format!("{retries} retries in a window, {allowed:.0} allowed");
            self.report(Guarantee::Repeats, detail);
        }
        peak
    }

    /// Checks the servers and the time that requests got, at the end of the run; returns what exceeds
    /// them.
    pub fn check_attempts(&self) -> Excess {
        let requests = self.requests.borrow();
        let sent: HashMap<String, SentRequest> = requests
            .iter()
            .filter_map(|(id, request)| {
                let (at, deadline) = (request.sent_at, request.deadline?);
                Some((id.clone(), SentRequest { at, deadline }))
            })
            .collect();
        let servers = self.servers.borrow();
        let attempts = servers.iter().flat_map(|watched| {
            let server = &watched.server;
            let is_up = !server.has_crashed();
            server.received().into_iter().map(move |received| Attempt {
                id: received.id().to_owned(),
                server: server.id.clone(),
                at: received.at,
                deadline: received.deadline(),
                ran: received.ran && is_up,
            })
        });
        let excess = attempts::excess(&sent, attempts.collect(), MAX_ATTEMPTS);
        if excess.exceeds_attempts() {
            self.report(Guarantee::Attempts, excess.to_string());
        }
        if excess.exceeds_time() {
            self.report(Guarantee::TimeLeft, excess.to_string());
        }
        excess
    }

    /// Checks the answers that callers lost around stops, at the end of the run. Returns what streams met,
    /// and a line for each lost answer.
    pub fn check_losses(&self) -> (String, Vec<String>) {
        let mut runs: HashMap<String, Vec<ServerRun>> = HashMap::new();
        for WatchedServer { server, .. } in self.servers.borrow().iter() {
            for received in server.received() {
                let run = ServerRun {
                    server: server.id.clone(),
                    at: received.at,
                    ended_at: received.ended_at,
                    ran: received.ran,
                };
                runs.entry(received.id().to_owned()).or_default().push(run);
            }
        }
        let (mut lines, mut counts) = (Vec::new(), BTreeMap::<Cause, u32>::new());
        for (outcome, stop, cause) in self.losses.lost(&runs) {
            *counts.entry(cause).or_default() += 1;
            if cause == Cause::Unread {
                continue;
            }
            let runs = runs.get(&outcome.id).map_or(&[][..], Vec::as_slice);
            let line = losses::line(&outcome, stop, cause, runs);
            let faults = self.faults.borrow();
            let disrupts = |kind| !PLANNED.contains(&kind) && !AT_SERVERS.contains(&kind);
            let mut disruptions = faults.iter().filter(|(kind, ..)| disrupts(*kind));
            let is_excused = disruptions.any(|(_, from, until)| {
                *from <= outcome.ended_at && *until + self.bounds.contact >= outcome.sent_at
            });
            if cause.is_violation() && !is_excused {
                self.report(Guarantee::Lost, line);
            } else {
                lines.push(line);
            }
        }
        (format!("{}, lost {counts:?}", self.losses.reached(&runs)), lines)
    }

    /// Whether the server that received a request last was running it at this time.
    pub fn was_running_at(&self, id: &str, at: Instant) -> bool {
        let servers = self.servers.borrow();
        let received = servers.iter().flat_map(|watched| watched.server.received());
        let attempts = received.filter(|attempt| attempt.id() == id && attempt.ran);
        let last = attempts.max_by_key(|attempt| attempt.at);
        last.is_some_and(|last| last.at <= at && last.ended_at.is_none_or(|ended| ended >= at))
    }

    /// Records a request whose connection its gateway, which had no fault, closed without a complete
    /// answer, if a sound server had received it.
    pub fn check_closed(&self, id: &str, sent_at: Instant, verdict: Verdict) {
        let faults = self.faults.borrow();
        let excuses = |kind: FaultKind| !kind.affects_store() && !AT_GATEWAYS.contains(&kind);
        let mut others = faults.iter().filter(|(kind, ..)| excuses(*kind));
        if others.any(|(_, _, until)| *until + SETTLE_TIME >= sent_at) {
            return;
        }
        self.record_check(Guarantee::Kept);
        if verdict == Verdict::Closed && self.was_offered(id) {
            self.closed.borrow_mut().push(id.to_owned());
        }
    }

    /// Checks the connections that gateways closed, at the end of the run; returns how many there were.
    pub fn check_closed_total(&self) -> usize {
        let closed = self.closed.borrow();
        if closed.len() > MAX_CLOSED {
            self.report(Guarantee::Kept, format!("closed without an answer: {closed:?}"));
        }
        closed.len()
    }
}
