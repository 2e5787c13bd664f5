//! Requests that crash servers, and parts of prompts that do.
//! Input: what crashes servers, what servers receive, and sound requests beside. State: the crashes
//! and late arrivals of each cause. Decides whether a cause still reaches servers after it is known,
//! and whether sound requests with the same first part are served meanwhile.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use hooktrestle_users_standin::server::ReceivedRequest;
use hooktrestle_users_standin::server::Server;
use tokio::time::Instant;

use crate::crash_shapes::CrashShape;

/// Number of crashes that identify a request, and a part of prompts.
const REQUEST_THRESHOLD: u32 = 3;
const PART_THRESHOLD: u32 = 5;

/// Number of arrivals that are allowed after all gateways had time to receive the crash reports.
const MAX_LATE_ARRIVALS: u32 = 3;

/// Number of sound requests, beside a cause and at other times, from which they are compared.
const MIN_NEIGHBOURS: usize = 20;

/// Beside a cause, sound requests reach servers at least this part as often as at other times.
const MIN_NEIGHBOURS_FRACTION: f64 = 0.5;

/// What crashes servers.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum CrashCause {
    /// A request with this body.
    Body(String),
    /// Any request with this part in its prompt.
    Part(String),
}

impl CrashCause {
    fn threshold(&self) -> u32 {
        match self {
            CrashCause::Body(_) => REQUEST_THRESHOLD,
            CrashCause::Part(_) => PART_THRESHOLD,
        }
    }
}

/// Arrivals of one cause.
#[derive(Clone, Debug, Default)]
struct CrashState {
    crashes: u32,
    /// Servers that it crashed.
    servers: BTreeSet<String>,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    /// When it had crashed enough servers to be identified.
    identified_at: Option<Instant>,
    /// Arrivals after all gateways had time to receive the crash reports.
    late_arrivals: u32,
    /// When a caller last sent a request with it.
    last_sent_at: Option<Instant>,
    shape: Option<CrashShape>,
}

/// A sound request whose prompt has the same first part as those that crash servers.
#[derive(Clone, Copy, Debug)]
struct Neighbour {
    sent_at: Instant,
    reached_server: bool,
}

/// Sound requests that were sent, and those of them that reached a server.
#[derive(Clone, Copy, Debug)]
struct Neighbours {
    sent: usize,
    reached: usize,
}

impl Neighbours {
    fn of<'a>(requests: impl Iterator<Item = &'a Neighbour>) -> Neighbours {
        let all: Vec<&Neighbour> = requests.collect();
        let reached = all.iter().filter(|one| one.reached_server).count();
        Neighbours { sent: all.len(), reached }
    }

    fn fraction(self) -> f64 {
        self.reached as f64 / self.sent.max(1) as f64
    }
}

impl Display for Neighbours {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} of {}", self.reached, self.sent)
    }
}

/// Result of the check of an arrival.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashCheck {
    /// Nothing to check.
    NotCounted,
    /// From now on arrivals of its cause are bounded.
    Identified,
    /// Its cause arrived too often since.
    Exceeded(String),
}

/// All causes.
#[derive(Debug, Default)]
pub struct Crashing {
    causes: HashMap<CrashCause, CrashState>,
    neighbours: Vec<Neighbour>,
}

impl Crashing {
    /// Adds a cause, with its shape if it is a part.
    pub fn add(&mut self, cause: CrashCause, shape: Option<CrashShape>) {
        self.causes.insert(cause, CrashState { shape, ..CrashState::default() });
    }

    /// The labels of the shapes of parts that crashed servers.
    pub fn reached_shapes(&self) -> BTreeSet<&'static str> {
        let crashed = self.causes.values().filter(|state| state.crashes > 0);
        crashed.filter_map(|state| state.shape).flat_map(|shape| shape.labels).collect()
    }

    /// Records that a caller sends a request with a cause.
    pub fn record_sent(&mut self, cause: &CrashCause) {
        if let Some(state) = self.causes.get_mut(cause) {
            state.last_sent_at = Some(Instant::now());
        }
    }

    /// Records a sound request that was sent at `sent_at`, and whether it has reached a server.
    pub fn record_neighbour(&mut self, sent_at: Instant, reached_server: bool) {
        self.neighbours.push(Neighbour { sent_at, reached_server });
    }

    /// Whether a cause has crashed enough servers to be identified.
    pub fn is_identified(&self, cause: &CrashCause) -> bool {
        self.causes.get(cause).is_some_and(|state| state.identified_at.is_some())
    }

    /// Whether a part has crashed enough servers to be identified.
    pub fn has_identified_part(&self) -> bool {
        self.causes.iter().any(|(cause, state)| {
            matches!(cause, CrashCause::Part(_)) && state.identified_at.is_some()
        })
    }

    /// Checks an arrival. Several requests that a server runs as it crashes are one crash, and one under
    /// which its server does not crash is none. Gateways know of crashes after `propagation`; late arrivals
    /// count if `is_in_touch`, which means that no fault delays the crash reports to their gateway.
    pub fn check(
        &mut self,
        server: &Server,
        arrival: &ReceivedRequest,
        propagation: Duration,
        is_in_touch: bool,
    ) -> CrashCheck {
        let parts = arrival.prompt_parts().map(|part| CrashCause::Part(part.to_owned()));
        let causes = std::iter::once(CrashCause::Body(arrival.body.clone())).chain(parts);
        let Some(cause) = causes.into_iter().find(|cause| self.causes.contains_key(cause)) else {
            return CrashCheck::NotCounted;
        };
        let threshold = cause.threshold();
        let state = self.causes.entry(cause.clone()).or_default();
        let is_crash = arrival.ran && !arrival.failed && arrival.crashes_server;
        if is_crash && (state.servers.insert(server.id.clone()) || !server.has_crashed()) {
            state.crashes += 1;
            state.first_at.get_or_insert(arrival.at);
            state.last_at = Some(arrival.at);
        }
        if state.crashes >= threshold && state.identified_at.is_none() {
            state.identified_at = Some(arrival.at);
            return CrashCheck::Identified;
        }
        let is_late = state.identified_at.is_some_and(|at| arrival.at > at + propagation);
        state.late_arrivals += u32::from(is_late && is_in_touch);
        if is_late && is_in_touch && state.late_arrivals > MAX_LATE_ARRIVALS {
            let CrashState { crashes, late_arrivals, .. } = state;
            return CrashCheck::Exceeded(format!(
                "{} was sent {cause:?}, {crashes} crashes, {late_arrivals} late arrivals",
                server.id
            ));
        }
        CrashCheck::NotCounted
    }

    /// Compares sound requests beside each part that crashes servers with those at other times, at
    /// the end of a run. Returns one result for each part beside which enough were sent: what is
    /// wrong, or nothing.
    pub fn check_neighbours(&self, propagation: Duration) -> Vec<Option<String>> {
        let is_beside_any = |one: &&Neighbour| {
            let mut causes = self.causes.values();
            causes.any(|state| {
                let span = state.first_at.zip(state.last_sent_at);
                span.is_some_and(|(from, until)| {
                    (from..=until + 2 * propagation).contains(&one.sent_at)
                })
            })
        };
        let apart = Neighbours::of(self.neighbours.iter().filter(|one| !is_beside_any(one)));
        let mut results = Vec::new();
        for (cause, state) in &self.causes {
            let known_at = state.identified_at.or(state.last_at);
            let Some((from, until)) = known_at.zip(state.last_sent_at) else { continue };
            let span = from + 2 * propagation..=until;
            let beside = self.neighbours.iter().filter(|one| span.contains(&one.sent_at));
            let beside = Neighbours::of(beside);
            if beside.sent < MIN_NEIGHBOURS || apart.sent < MIN_NEIGHBOURS {
                continue;
            }
            let is_too_few = beside.fraction() < MIN_NEIGHBOURS_FRACTION * apart.fraction();
            results.push(is_too_few.then(|| {
                format!("{beside} sound requests reached servers beside {cause:?}, else {apart}")
            }));
        }
        results
    }

    /// What each cause came to, for the report of a run.
    pub fn summary(&self) -> String {
        let parts = self.causes.iter().filter(|(cause, _)| matches!(cause, CrashCause::Part(_)));
        let lines = parts.map(|(_, state)| {
            let labels = state.shape.map(|shape| shape.labels.join(", ")).unwrap_or_default();
            format!(
                ", a part with {} crashes, {} late arrivals ({labels})",
                state.crashes, state.late_arrivals
            )
        });
        lines.collect()
    }
}
