//! State machine of one request at a gateway: decides on retries and on the one final answer.
//! Input: frames from sidecars, lost links, verdicts on attempts, and the deadline.
//! State: the newest attempt, its phase, and the verdict on the earlier attempts.
//!
//! Frames of the newest attempt only are forwarded, in sequence and once. A retry is made only
//! where it cannot run a request twice that must run at most once. The verdict `not-run` is given
//! only if every attempt is known not to have run.

use hooktrestle_schema::Cause;
use hooktrestle_schema::Verdict;

use crate::clock::Millis;
use crate::id::RequestId;
use crate::retry::RetryBudget;
use crate::verdict::Refusal;
use crate::verdict::worst;

/// Parameters of a request.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Its number at the gateway.
    pub number: u64,
    /// Whether and where it may be retried.
    pub retry_policy: RetryPolicy,
    /// Maximum number of attempts.
    pub max_attempts: u32,
}

/// Whether and where a request may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// The request is repeatable: a retry may go to any backend server at any time.
    Unrestricted,
    /// The request is not repeatable, and only this gateway knows its ticket: a retry goes to
    /// another backend server with a new ticket, once the old ticket can never run.
    WithNewTicket,
    /// The request is not repeatable, and the caller holds its ticket: no retry. The caller may
    /// send the ticket again at any time, so with a second ticket both could run.
    Never,
}

/// Progress of the newest attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No attempt is under way.
    Routing,
    /// Sent; no frame has been received.
    Sent,
    /// The head was sent to the caller; `next_sequence` is the next body frame.
    Streaming { next_sequence: u64 },
    /// The link was lost; the sidecar is queried for the outcome of the attempt.
    Settling,
    /// The final answer was sent.
    Done,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Choose a backend server that was not tried yet, and send this attempt.
    Send(RequestId),
    /// Forward the frame to the caller.
    Forward,
    /// Forward the frame; the answer is complete.
    ForwardLast,
    /// Query the sidecar, over a new link, for the outcome of this attempt.
    Settle(RequestId),
    /// Send this final answer to the caller.
    Finish(Refusal),
    /// Ignore the event: it belongs to an older attempt, or is a duplicate.
    Ignore,
}

/// The state of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    config: Config,
    attempt: u32,
    phase: Phase,
    /// Worst verdict of the attempts before the newest.
    earlier_verdict: Verdict,
    /// The earliest retry time in the refusals of these attempts.
    earliest_retry: Option<Millis>,
}

impl Attempts {
    /// State of a request whose first attempt is to be sent.
    pub fn new(config: Config) -> Attempts {
        let earlier_verdict = Verdict::NotRun;
        Attempts {
            config,
            attempt: 0,
            phase: Phase::Routing,
            earlier_verdict,
            earliest_retry: None,
        }
    }

    /// Identifier of the newest attempt.
    pub fn id(&self) -> RequestId {
        RequestId { number: self.config.number, attempt: self.attempt }
    }

    /// Whether the final answer was sent.
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Whether the head of an answer was sent to the caller.
    pub fn is_streaming(&self) -> bool {
        matches!(self.phase, Phase::Streaming { .. })
    }

    /// Records that the newest attempt was passed to a link.
    pub fn sent(&mut self) {
        debug_assert_eq!(self.phase, Phase::Routing);
        self.phase = Phase::Sent;
    }

    /// Ends the request because no backend server could be chosen. A time to retry after from an
    /// earlier refusal takes precedence over the one in `refusal`.
    pub fn not_routed(&mut self, refusal: Refusal) -> Next {
        let retry_after = self.earliest_retry.or(refusal.retry_after);
        self.finish(Refusal { retry_after, ..refusal })
    }

    /// Handles the head of an answer.
    pub fn head(&mut self, id: RequestId) -> Next {
        if id != self.id() || self.phase != Phase::Sent {
            return Next::Ignore;
        }
        self.phase = Phase::Streaming { next_sequence: 0 };
        Next::Forward
    }

    /// Handles a body frame of an answer.
    pub fn body(&mut self, id: RequestId, sequence: u64, last: bool) -> Next {
        let Phase::Streaming { next_sequence } = self.phase else { return Next::Ignore };
        if id != self.id() || sequence < next_sequence {
            return Next::Ignore;
        }
        if sequence > next_sequence {
            return self.finish(Refusal::ran(Cause::Protocol));
        }
        if last {
            self.phase = Phase::Done;
            return Next::ForwardLast;
        }
        self.phase = Phase::Streaming { next_sequence: next_sequence + 1 };
        Next::Forward
    }

    /// Handles the end of the attempt by its sidecar. With `spent`, its ticket can never be
    /// accepted any more.
    pub fn refused(
        &mut self,
        id: RequestId,
        refusal: Refusal,
        spent: bool,
        budget: &mut RetryBudget,
    ) -> Next {
        let open = matches!(self.phase, Phase::Sent | Phase::Streaming { .. });
        if id != self.id() || !open {
            return Next::Ignore;
        }
        if self.is_streaming() {
            return self.finish(Refusal { verdict: Verdict::Ran, ..refusal });
        }
        if refusal.verdict == Verdict::NotRun {
            let safe = self.is_repeatable() || spent;
            return self.retry_or_finish(
                refusal,
                safe && may_succeed_elsewhere(refusal.cause),
                budget,
            );
        }
        self.retry_or_finish(
            refusal,
            self.is_repeatable() && may_succeed_elsewhere(refusal.cause),
            budget,
        )
    }

    /// Handles the loss of the link that carried the attempt.
    pub fn link_lost(&mut self, id: RequestId, budget: &mut RetryBudget) -> Next {
        if id != self.id() {
            return Next::Ignore;
        }
        match self.phase {
            Phase::Streaming { .. } => self.finish(Refusal::ran(Cause::LinkLost)),
            Phase::Sent if self.is_repeatable() && self.attempt + 1 < self.config.max_attempts => {
                self.retry_or_finish(Refusal::may_have_run(Cause::LinkLost), true, budget)
            }
            Phase::Sent => {
                self.phase = Phase::Settling;
                Next::Settle(id)
            }
            Phase::Routing | Phase::Settling | Phase::Done => Next::Ignore,
        }
    }

    /// Handles the sidecar's verdict on the attempt; `None` if no verdict was received in time.
    pub fn settled(
        &mut self,
        id: RequestId,
        verdict: Option<Verdict>,
        budget: &mut RetryBudget,
    ) -> Next {
        if id != self.id() || self.phase != Phase::Settling {
            return Next::Ignore;
        }
        let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
        let refusal = Refusal { verdict, cause: Cause::LinkLost, retry_after: None };
        self.retry_or_finish(refusal, verdict == Verdict::NotRun, budget)
    }

    /// Ends the request because its deadline has passed. The caller is answered at once; an attempt
    /// that may still run is to be cancelled.
    pub fn deadline(&mut self) -> Next {
        let verdict = match self.phase {
            Phase::Done => return Next::Ignore,
            Phase::Routing => Verdict::NotRun,
            Phase::Sent | Phase::Settling => Verdict::MayHaveRun,
            Phase::Streaming { .. } => Verdict::Ran,
        };
        self.finish(Refusal { verdict, cause: Cause::DeadlinePassed, retry_after: None })
    }

    fn is_repeatable(&self) -> bool {
        self.config.retry_policy == RetryPolicy::Unrestricted
    }

    /// Retries if `allowed` and within the limits and the budget, else finishes.
    fn retry_or_finish(
        &mut self,
        refusal: Refusal,
        allowed: bool,
        budget: &mut RetryBudget,
    ) -> Next {
        let left = self.attempt + 1 < self.config.max_attempts;
        let is_forbidden = self.config.retry_policy == RetryPolicy::Never;
        if is_forbidden || !allowed || !left || !budget.take() {
            return self.finish(refusal);
        }
        self.earlier_verdict = worst(self.earlier_verdict, refusal.verdict);
        self.record_retry_after(&refusal);
        self.attempt += 1;
        self.phase = Phase::Routing;
        Next::Send(self.id())
    }

    fn record_retry_after(&mut self, refusal: &Refusal) {
        self.earliest_retry =
            [self.earliest_retry, refusal.retry_after].into_iter().flatten().min();
    }

    fn finish(&mut self, refusal: Refusal) -> Next {
        self.phase = Phase::Done;
        let verdict = worst(self.earlier_verdict, refusal.verdict);
        Next::Finish(Refusal { verdict, ..refusal })
    }
}

/// Whether an attempt at another backend server may succeed after this cause.
fn may_succeed_elsewhere(cause: Cause) -> bool {
    matches!(
        cause,
        Cause::QueueFull
            | Cause::Leaving
            | Cause::BackendRefused
            | Cause::BackendFailed
            | Cause::LinkLost
            | Cause::OtherIncarnation
            | Cause::NotReady
    )
}

/// The answer to a request for which no backend server is available.
pub fn no_backend_server(retry_after: Millis) -> Refusal {
    Refusal::not_run(Cause::NoBackendServer).retry_after(retry_after)
}
