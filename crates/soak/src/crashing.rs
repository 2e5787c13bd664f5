//! Requests that crash servers, and parts of prompts that do.
//! Input: what crashes servers, and what servers receive. State: the crashes and late arrivals of
//! each cause. Decides whether a cause still reaches servers after it is known.

use std::collections::HashMap;
use std::time::Duration;

use hooktrestle_users_standin::server::ReceivedRequest;
use tokio::time::Instant;

/// Number of crashes that identify a request, and a part of prompts.
const REQUEST_THRESHOLD: u32 = 3;
const PART_THRESHOLD: u32 = 5;

/// Number of arrivals that are allowed after all gateways had time to receive the crash reports.
const MAX_LATE_ARRIVALS: u32 = 3;

/// What crashes servers.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum CrashCause {
    /// A request with this body.
    Body(String),
    /// Any request with this part in its prompt.
    Part(String),
}

/// Arrivals of one cause.
#[derive(Clone, Copy, Debug, Default)]
struct CrashState {
    crashes: u32,
    /// When it had crashed enough servers to be identified.
    identified_at: Option<Instant>,
    /// Arrivals after all gateways had time to receive the crash reports.
    late_arrivals: u32,
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
pub struct Crashing(HashMap<CrashCause, CrashState>);

impl Crashing {
    /// Adds a cause.
    pub fn add(&mut self, cause: CrashCause) {
        self.0.insert(cause, CrashState::default());
    }

    /// Checks an arrival. Gateways know of crashes after `propagation`; late arrivals count if
    /// `is_quiet`, which means that no fault delays the crash reports.
    pub fn check(
        &mut self,
        server: &str,
        arrival: &ReceivedRequest,
        propagation: Duration,
        is_quiet: bool,
    ) -> CrashCheck {
        let parts = arrival.prompt_parts().map(|part| CrashCause::Part(part.to_owned()));
        let causes = std::iter::once(CrashCause::Body(arrival.body.clone())).chain(parts);
        let Some(cause) = causes.into_iter().find(|cause| self.0.contains_key(cause)) else {
            return CrashCheck::NotCounted;
        };
        let threshold = match cause {
            CrashCause::Body(_) => REQUEST_THRESHOLD,
            CrashCause::Part(_) => PART_THRESHOLD,
        };
        let state = self.0.entry(cause.clone()).or_default();
        state.crashes += u32::from(arrival.ran);
        if state.crashes >= threshold && state.identified_at.is_none() {
            state.identified_at = Some(arrival.at);
            return CrashCheck::Identified;
        }
        let is_late = state.identified_at.is_some_and(|at| arrival.at > at + propagation);
        state.late_arrivals += u32::from(is_late && is_quiet);
        if is_late && is_quiet && state.late_arrivals > MAX_LATE_ARRIVALS {
            let crashes = state.crashes;
            return CrashCheck::Exceeded(format!("{server} was sent {cause:?}, {crashes} crashes"));
        }
        CrashCheck::NotCounted
    }
}
