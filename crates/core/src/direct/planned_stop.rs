//! The requests that a gateway accepts while it stops, and when its process ends.
//! Input: when the stop began and how long it may take; deadlines and arrivals of requests; transfers
//! of answers. State: whether the gateway was quiet at the last check, since when all requests are
//! answered, and when an answer was last transferred. Decides whether a request is accepted, and
//! whether the process ends.
//!
//! A request is accepted only if its caller can have the whole answer before the process ends. That
//! is so if its deadline is earlier. At the beginning of the stop, when callers may not know of it
//! yet, it is also so for requests of a route whose recent ones all took less time than is left,
//! provided that their answers are small: how long a large one takes depends on its caller, and no
//! earlier caller tells how fast the next one reads. Other gateways have to run all others. Shortly
//! before the end all requests without an answer get one: a closed connection would tell their
//! callers less. Requests that arrive later do not prolong the stop: while many gateways stop,
//! callers find no other one, and the next process accepts them sooner.
//!
//! A process that gets too little processor time has answers that are not forwarded, although their
//! servers have sent them in time. So it ends only once its answers stand still, or shortly before the
//! platform ends it. One whose checks are in time has forwarded what has arrived, and keeps the rest of
//! the stop time: it may have handled the signal late.

use crate::clock::Millis;
use crate::direct::service_times::Served;

/// Shortest planned stop: some callers use a list of gateways three times as long as they may, and
/// the platform polls readiness once per second.
const MIN_STOP: Millis = Millis(3_300);

/// Time without a new request after which a process that stops is no longer needed, from the
/// beginning of the stop at the latest.
const QUIET_PERIOD: Millis = Millis(1_000);

/// How long before the end of the stop time the process ends by itself.
const STOP_MARGIN: Millis = Millis(500);

/// The same for a process whose answers do not stand still.
const MIN_STOP_MARGIN: Millis = Millis(100);

/// The same for a process that has decided to end, and has not forwarded all that has arrived.
const EXIT_TIME: Millis = Millis(50);

/// Maximum that is added to these for the delay of checks. A longer delay is a suspension, after which
/// the process may run as fast as any.
const MAX_EXIT_DELAY: Millis = Millis(100);

/// Fraction of the stop in which requests are accepted whose deadline is behind its end, as numerator
/// and denominator: 2.5 of 8 s. Callers may send such requests until 3 s; the difference is for a
/// signal that is handled late, and for requests that wait to be read.
const ANY_DEADLINE_FRACTION: (u64, u64) = (5, 16);

/// Size up to which an answer counts as small: the kernel takes it at once, and delivers it even if
/// the process ends.
const SMALL_ANSWER_BYTES: usize = 32 << 10;

/// Time between the deadline of a request and the end of the process: its answer has to be written.
const DELIVERY_TIME: Millis = Millis(200);

/// Time without a transfer after which answers stand still: more than a round trip to a server or a
/// caller, and at least one check.
const SETTLING_TIME: Millis = Millis(100);

/// Delay of a check from which on the process gets too little processor time.
const MAX_TIMELY_DELAY: Millis = Millis(20);

/// What a gateway that stops does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Serves on.
    Serve,
    /// All requests whose answer has not begun get a refusal or a failure.
    AnswerAll,
    /// The process ends.
    End,
}

/// The requests of a gateway, as a check during the stop finds them.
#[derive(Clone, Copy, Debug)]
pub struct Requests {
    /// Number of requests without a complete answer.
    pub in_flight: usize,
    /// When the last one arrived.
    pub last_received_at: Millis,
}

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    began_at: Millis,
    ends_at: Millis,
    /// When the platform ends the process.
    killed_at: Millis,
    accepts_any_deadline_until: Millis,
    /// Whether there was nothing to do at the last check.
    was_quiet: bool,
    /// Since when all requests get an answer.
    answers_all_since: Option<Millis>,
    /// Number of transfers of answers so far, and when it was last found to have increased.
    transfers: u64,
    last_transfer_at: Millis,
    /// Longest delay of a check since all requests get an answer.
    max_delay: Millis,
}

impl PlannedStop {
    /// A stop that begins now and may take this long.
    pub fn new(now: Millis, within: Millis) -> PlannedStop {
        let (numerator, denominator) = ANY_DEADLINE_FRACTION;
        PlannedStop {
            began_at: now,
            ends_at: now + within.since(STOP_MARGIN),
            killed_at: now + within,
            accepts_any_deadline_until: now + Millis(within.0 * numerator / denominator),
            was_quiet: false,
            answers_all_since: None,
            transfers: 0,
            last_transfer_at: Millis::ZERO,
            max_delay: Millis::ZERO,
        }
    }

    /// Time since it began.
    pub fn lasted(&self, now: Millis) -> Millis {
        now.since(self.began_at)
    }

    /// Whether a request with this deadline is accepted. `expected` is what the recent requests of its
    /// route took, if there were any.
    pub fn accepts(&self, deadline: Millis, expected: Option<Served>, now: Millis) -> bool {
        let is_early = now < self.accepts_any_deadline_until;
        let ends_by = match expected {
            Some(expected) if is_early && expected.answer_bytes <= SMALL_ANSWER_BYTES => {
                deadline.min(now + expected.took)
            }
            _ => deadline,
        };
        ends_by + DELIVERY_TIME <= self.ends_at
    }

    /// Records, before a check, how often parts of answers have been received from servers or written
    /// to callers. The process has to handle what has arrived first: while it gets no processor time,
    /// nothing is transferred.
    pub fn record_transfers(&mut self, count: u64, now: Millis) {
        if count != self.transfers {
            (self.transfers, self.last_transfer_at) = (count, now);
        }
    }

    /// Records how late a check begins. A process that gets too little processor time at its end takes
    /// longer to exit.
    pub fn record_delay(&mut self, delay: Millis) {
        if self.answers_all_since.is_some() {
            self.max_delay = self.max_delay.max(delay.min(MAX_EXIT_DELAY));
        }
    }

    /// Whether a process that ends may go on forwarding what has arrived.
    pub fn may_forward(&self, now: Millis) -> bool {
        now + EXIT_TIME + self.max_delay < self.killed_at
    }

    /// The next step, at a check. The gateway has to be quiet at two checks in a row: requests that
    /// arrived while the process got no processor time are read only after the first one. For the same
    /// reason, answers have time to be written after the first check that finds the end near, however
    /// late that is.
    pub fn check(&mut self, requests: Requests, now: Millis) -> Next {
        let prolonged_at = requests.last_received_at.min(self.accepts_any_deadline_until);
        let is_quiet = requests.in_flight == 0
            && now.since(prolonged_at) >= QUIET_PERIOD
            && now.since(self.began_at) >= MIN_STOP;
        let was_quiet = std::mem::replace(&mut self.was_quiet, is_quiet);
        if is_quiet && was_quiet {
            return Next::End;
        }
        if now + DELIVERY_TIME < self.ends_at {
            return Next::Serve;
        }
        let answers_all_since = *self.answers_all_since.get_or_insert(now);
        let mut ends_at = self.ends_at.max(answers_all_since + DELIVERY_TIME);
        if requests.in_flight > 0 && self.max_delay >= MAX_TIMELY_DELAY {
            ends_at = ends_at.max(self.last_transfer_at + SETTLING_TIME);
        }
        let is_over = now >= ends_at || now + MIN_STOP_MARGIN + self.max_delay >= self.killed_at;
        if is_over { Next::End } else { Next::AnswerAll }
    }
}
