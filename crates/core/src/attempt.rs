//! One request at a gateway: from its first attempt to its one final answer.
//!
//! The machine holds what the answer's verdict rests on. It forwards the newest attempt only, in
//! sequence and once; it tries again only where that cannot run a request twice that must not;
//! and it never says `not-run` unless every attempt is known not to have run.

use hooktrestle_schema::Cause;
use hooktrestle_schema::Verdict;

use crate::clock::Millis;
use crate::id::RequestId;
use crate::retry::RetryBudget;
use crate::verdict::Refusal;
use crate::verdict::worst;

/// What the machine has to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Its number at the gateway.
    pub number: u64,
    /// Whether and where it may be tried again.
    pub retry_policy: RetryPolicy,
    /// Most attempts.
    pub max_attempts: u32,
}

/// Whether and where a request may be tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// It is repeatable: anywhere, at any time.
    Unrestricted,
    /// It is not repeatable, and only this gateway knows its ticket: elsewhere, with a new
    /// ticket, once the old one can never run.
    WithNewTicket,
    /// It is not repeatable, and the caller holds its ticket: never. The caller may send the
    /// ticket again at any time, so a second one would let both run.
    Never,
}

/// How far the newest attempt is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No attempt is under way.
    Routing,
    /// Sent; nothing has come back.
    Sent,
    /// The head has gone out to the caller; this body sequence is next.
    Streaming { next_sequence: u64 },
    /// The link was lost; the sidecar is being asked what became of the attempt.
    Settling,
    /// The final answer is out.
    Done,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Choose a backend server, other than those tried, and send this attempt.
    Send(RequestId),
    /// Pass the frame on to the caller.
    Forward,
    /// Pass the frame on; the answer is whole.
    ForwardLast,
    /// Ask the sidecar, over a new link, what became of this attempt.
    Settle(RequestId),
    /// Give the caller the final answer, now.
    Finish(Refusal),
    /// Nothing: the frame belongs to an older attempt, or came twice.
    Ignore,
}

/// The state of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    config: Config,
    attempt: u32,
    phase: Phase,
    /// The most that the attempts before the newest admit.
    earlier: Verdict,
    /// The earliest time to come back that they told.
    come_back: Option<Millis>,
}

impl Attempts {
    /// A request whose first attempt is to be sent.
    pub fn new(config: Config) -> Attempts {
        let earlier = Verdict::NotRun;
        Attempts { config, attempt: 0, phase: Phase::Routing, earlier, come_back: None }
    }

    /// The newest attempt.
    pub fn id(&self) -> RequestId {
        RequestId { number: self.config.number, attempt: self.attempt }
    }

    /// Whether the final answer is out.
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Whether the head of an answer has gone out to the caller.
    pub fn is_streaming(&self) -> bool {
        matches!(self.phase, Phase::Streaming { .. })
    }

    /// The newest attempt has been handed to a link.
    pub fn sent(&mut self) {
        debug_assert_eq!(self.phase, Phase::Routing);
        self.phase = Phase::Sent;
    }

    /// No backend server could be chosen. Those that were asked may have told when they take requests again.
    pub fn not_routed(&mut self, refusal: Refusal) -> Next {
        let retry_after = self.come_back.or(refusal.retry_after);
        self.finish(Refusal { retry_after, ..refusal })
    }

    /// The head of an answer has arrived.
    pub fn head(&mut self, id: RequestId) -> Next {
        if id != self.id() || self.phase != Phase::Sent {
            return Next::Ignore;
        }
        self.phase = Phase::Streaming { next_sequence: 0 };
        Next::Forward
    }

    /// A piece of an answer has arrived.
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

    /// The sidecar has ended the attempt. `spent`: its ticket can never run any more.
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
            let harmless = self.is_repeatable() || spent;
            return self.again(refusal, harmless && helps(refusal.cause), budget);
        }
        self.again(refusal, self.is_repeatable() && helps(refusal.cause), budget)
    }

    /// The link that carried the attempt was lost.
    pub fn link_lost(&mut self, id: RequestId, budget: &mut RetryBudget) -> Next {
        if id != self.id() {
            return Next::Ignore;
        }
        match self.phase {
            Phase::Streaming { .. } => self.finish(Refusal::ran(Cause::LinkLost)),
            Phase::Sent if self.is_repeatable() && self.attempt + 1 < self.config.max_attempts => {
                self.again(Refusal::may_have_run(Cause::LinkLost), true, budget)
            }
            Phase::Sent => {
                self.phase = Phase::Settling;
                Next::Settle(id)
            }
            Phase::Routing | Phase::Settling | Phase::Done => Next::Ignore,
        }
    }

    /// The sidecar has said what became of the attempt, or (`None`) could not be asked in time.
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
        self.again(refusal, verdict == Verdict::NotRun, budget)
    }

    /// The deadline has passed: the caller is told at once; what may still run is cancelled.
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

    /// Tries again if that is `allowed` and within the limits, else finishes.
    fn again(&mut self, refusal: Refusal, allowed: bool, budget: &mut RetryBudget) -> Next {
        let left = self.attempt + 1 < self.config.max_attempts;
        let held = self.config.retry_policy == RetryPolicy::Never;
        if held || !allowed || !left || !budget.take() {
            return self.finish(refusal);
        }
        self.earlier = worst(self.earlier, refusal.verdict);
        self.note_time(&refusal);
        self.attempt += 1;
        self.phase = Phase::Routing;
        Next::Send(self.id())
    }

    fn note_time(&mut self, refusal: &Refusal) {
        self.come_back = [self.come_back, refusal.retry_after].into_iter().flatten().min();
    }

    fn finish(&mut self, refusal: Refusal) -> Next {
        self.phase = Phase::Done;
        let verdict = worst(self.earlier, refusal.verdict);
        Next::Finish(Refusal { verdict, ..refusal })
    }
}

/// Whether another backend server could do better.
fn helps(cause: Cause) -> bool {
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

/// The answer to a request that cannot be sent anywhere.
pub fn no_backend_server(retry_after: Millis) -> Refusal {
    Refusal::not_run(Cause::NoBackendServer).retry_after(retry_after)
}
