//! Refusals and failures of requests, with the verdict whether the request may have run.
//! Input: verdict, cause and retry time. There is no state.
//! Decides the HTTP status and the body that callers get.

use hooktrestle_schema::Cause;
use hooktrestle_schema::ProblemBody;
use hooktrestle_schema::Verdict;

use crate::clock::Millis;

/// Why a request got no complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// The cause of the refusal or failure.
    pub cause: Cause,
    /// Time after which a retry is useful, if any.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal of a request that did not run and will not.
    pub fn not_run(cause: Cause) -> Refusal {
        Refusal { verdict: Verdict::NotRun, cause, retry_after: None }
    }

    /// A failure after which it is unknown whether the request ran.
    pub fn may_have_run(cause: Cause) -> Refusal {
        Refusal { verdict: Verdict::MayHaveRun, cause, retry_after: None }
    }

    /// A failure of a request that ran, at least in part.
    pub fn ran(cause: Cause) -> Refusal {
        Refusal { verdict: Verdict::Ran, cause, retry_after: None }
    }

    /// The refusal with a retry time.
    pub fn retry_after(self, span: Millis) -> Refusal {
        Refusal { retry_after: Some(span), ..self }
    }

    /// The body that callers get.
    pub fn body(&self) -> ProblemBody {
        ProblemBody {
            verdict: self.verdict,
            cause: self.cause,
            message: message(self.cause).to_owned(),
            retry_after_ms: self.retry_after.map(|span| span.0),
        }
    }

    /// The HTTP status that callers get.
    pub fn status(&self) -> u16 {
        match self.cause {
            Cause::BadRequest => 400,
            Cause::UnknownKey => 401,
            Cause::UnknownService => 404,
            Cause::AlreadySeen | Cause::OtherIncarnation | Cause::TicketExpired => 409,
            Cause::TooLarge => 413,
            Cause::LimitReached => 429,
            Cause::BackendFailed | Cause::LinkLost | Cause::Protocol => 502,
            Cause::QueueFull
            | Cause::Leaving
            | Cause::NoBackendServer
            | Cause::BackendRefused
            | Cause::NotReady
            | Cause::Revoked
            | Cause::CrashesServers
            | Cause::CrashSuspect => 503,
            Cause::DeadlinePassed => 504,
            Cause::Cancelled => 499,
        }
    }
}

/// The worse of two verdicts on one request: ran, then may have run, then not run.
pub fn worst(a: Verdict, b: Verdict) -> Verdict {
    match (a, b) {
        (Verdict::NotRun, other) | (other, Verdict::NotRun) => other,
        (Verdict::Ran, _) | (_, Verdict::Ran) => Verdict::Ran,
        (Verdict::MayHaveRun, Verdict::MayHaveRun) => Verdict::MayHaveRun,
    }
}

fn message(cause: Cause) -> &'static str {
    match cause {
        Cause::BadRequest => "the request is malformed",
        Cause::UnknownKey => "no client account has this key",
        Cause::UnknownService => "no service has this name",
        Cause::TooLarge => "the body is larger than allowed",
        Cause::LimitReached => "the client account is over its limit",
        Cause::QueueFull => "too many requests wait already",
        Cause::Leaving => "the instance is leaving; use another",
        Cause::NoBackendServer => "no backend server can take the request now",
        Cause::DeadlinePassed => "the deadline passed",
        Cause::Cancelled => "the caller went away",
        Cause::AlreadySeen => "a request with this key was taken before",
        Cause::OtherIncarnation => "the process that knew this request key is gone",
        Cause::TicketExpired => "the request key is older than keys are remembered",
        Cause::BackendRefused => "the backend server refused the request",
        Cause::BackendFailed => "the backend server failed; the answer is not whole",
        Cause::LinkLost => "the link to the backend server was lost",
        Cause::NotReady => "the instance has no configuration yet",
        Cause::Revoked => "the request was taken back before it started",
        Cause::CrashSuspect => "a backend server crashed as it began this request",
        Cause::CrashesServers => "backend servers crashed under this request",
        Cause::Protocol => "the answer broke the protocol; it is not whole",
    }
}
