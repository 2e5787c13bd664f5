//! Admission control for the streams of one service at one gateway.
//! Input: the lengths of passes. State: moving means of passes and streams, and the open streams.
//! Decides whether a new stream is admitted, waits or is refused with a retry time.
//!
//! All streams of a group share its passes, and each event takes a whole pass. Each additional
//! stream makes every stream slower. Slower streams last longer, so more of them are open at once,
//! and above a critical number all streams are late for as long as requests keep arriving. A
//! gateway observes passes as the pauses between the events that it relays. From the passes and the
//! number of its streams in the same time it computes how many streams it can have with passes
//! within the latency objective. All gateways observe the same passes, so each one limits its own
//! share without communication between them.
//!
//! A request above the limit waits for a stream to end if that leaves time for its first event.
//! Otherwise it is refused at once, with the time at which its turn would come. The requests that
//! one gateway refuses get successive retry times, so that they do not return all at once.

use crate::clock::Millis;
use crate::direct::attempts::MAX_RETRY_AFTER;
use crate::direct::room::view::StreamSummary;

/// Weight of the newest stream in the mean durations. Some tens of streams last about 2 s.
const NEWEST_STREAM_WEIGHT: f64 = 0.1;

/// Parameters of admission control.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time constant of the means of passes: a pass of this age weighs about a third. Some passes
    /// have to be averaged, and a burst has to show within a few of them.
    pub decay_ms: f64,
    /// Number of mean deviations that are added to the mean pass; the sum is to stay within the
    /// latency objective. One pass that is too long makes a stream late.
    pub deviations: f64,
    /// Age above which the last observed pass is disregarded: several of the longest passes.
    pub max_age: Millis,
    /// Fraction of a service's slots that must be occupied before a request is refused. With fewer
    /// requests, long passes have another cause than the number of requests.
    pub min_busy_fraction: f64,
    /// Lower bound of the fraction of slots that would be occupied at the limit of streams. If
    /// passes are too long even with so few streams, one rank is slow, and fewer streams would be
    /// late too.
    pub min_target_fraction: f64,
    /// Fraction of the time left until the first event is due for which a request may wait. The
    /// expected wait is too short as often as it is too long.
    pub wait_fraction: f64,
    /// Upper bound of the retry time of a refused request.
    pub max_retry_after: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            decay_ms: 200.0,
            deviations: 1.0,
            max_age: Millis(1_500),
            min_busy_fraction: 0.5,
            min_target_fraction: 0.2,
            wait_fraction: 0.5,
            max_retry_after: MAX_RETRY_AFTER,
        }
    }
}

/// The latency objective of a route, and the shortest pass of the service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyObjective {
    /// Longest pause between events that meets the objective.
    pub pause_ms: f64,
    /// Length of a pass with almost no load.
    pub min_pass_ms: f64,
}

/// The decision on a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is sent at once.
    Admitted,
    /// It has to wait for another stream to end.
    Waits,
    /// It would have to wait too long. Its turn would come after this time.
    Refused(Millis),
}

/// Passes and streams of one service as one gateway observes them.
#[derive(Clone, Debug)]
pub struct Admission {
    config: Config,
    /// Mean length of a pass.
    pass_ms: f64,
    /// Mean absolute deviation from `pass_ms`.
    deviation_ms: f64,
    /// Mean number of open streams at the time of the passes.
    mean_streams: f64,
    last_pass_at: Option<Millis>,
    /// Number of open streams.
    streams: usize,
    /// Number of streams that have ended.
    ended: u64,
    /// Number of waiting requests.
    waiting: usize,
    /// Mean duration of a stream.
    stream_ms: f64,
    /// Mean time to a stream's first event.
    first_ms: f64,
    /// The time up to which refused requests have been assigned turns.
    turns_assigned_until: Millis,
}

impl Admission {
    /// No pass observed yet.
    pub fn new(config: Config) -> Admission {
        Admission {
            config,
            pass_ms: 0.0,
            deviation_ms: 0.0,
            mean_streams: 0.0,
            last_pass_at: None,
            streams: 0,
            ended: 0,
            waiting: 0,
            stream_ms: 0.0,
            first_ms: 0.0,
            turns_assigned_until: Millis::ZERO,
        }
    }

    /// Records a pass: the pause between two consecutive events of a stream.
    pub fn record_pass(&mut self, length_ms: f64, now: Millis) {
        let Some(last_pass_at) = self.last_pass_at.replace(now) else {
            self.pass_ms = length_ms;
            self.mean_streams = self.streams as f64;
            return;
        };
        // All streams of a group report the same pass. The weight depends on the time since the
        // last report, so that the pass counts once.
        let span = now.since(last_pass_at).0 as f64;
        let weight = 1.0 - (-span / self.config.decay_ms).exp();
        let difference_ms = length_ms - self.pass_ms;
        self.pass_ms += weight * difference_ms;
        self.deviation_ms += weight * (difference_ms.abs() - self.deviation_ms);
        self.mean_streams += weight * (self.streams as f64 - self.mean_streams);
    }

    /// Number of streams that this gateway can have, at least one; `None` if it is unknown.
    pub fn limit(&self, objective: LatencyObjective, now: Millis) -> Option<f64> {
        let last_pass_at = self.last_pass_at?;
        if now.since(last_pass_at) > self.config.max_age {
            return None;
        }
        let upper_pass_ms = self.pass_ms + self.config.deviations * self.deviation_ms;
        let (available_ms, added_ms) =
            (objective.pause_ms - objective.min_pass_ms, upper_pass_ms - objective.min_pass_ms);
        // Passes of the shortest length set no limit.
        (added_ms > 0.0).then(|| (self.mean_streams * available_ms.max(0.0) / added_ms).max(1.0))
    }

    /// Decides on a request whose first event is due in `left_ms`. `busy` is the occupied fraction
    /// of the service's slots.
    pub fn decide(
        &mut self,
        objective: LatencyObjective,
        left_ms: f64,
        busy: f64,
        now: Millis,
    ) -> Decision {
        let Some(limit) = self.limit(objective, now) else { return Decision::Admitted };
        let excess = self.streams as f64 + 1.0 - limit;
        if excess <= 0.0 || !self.is_caused_by_streams(limit, busy) {
            return Decision::Admitted;
        }
        let turn_ms = self.stream_ms / limit;
        let wait_ms = turn_ms * (excess + self.waiting as f64);
        if wait_ms <= (left_ms - self.first_ms) * self.config.wait_fraction {
            return Decision::Waits;
        }
        Decision::Refused(self.assign_turn(wait_ms, turn_ms, now))
    }

    /// Whether the number of streams is the cause of long passes.
    fn is_caused_by_streams(&self, limit: f64, busy: f64) -> bool {
        let busy_at_limit = busy * limit / self.mean_streams.max(1.0);
        busy >= self.config.min_busy_fraction && busy_at_limit >= self.config.min_target_fraction
    }

    /// The retry time of a refused request: after those of the requests refused before it.
    fn assign_turn(&mut self, wait_ms: f64, turn_ms: f64, now: Millis) -> Millis {
        let free_at = now + Millis(wait_ms as u64);
        let turn = self.turns_assigned_until.max(free_at) + Millis(turn_ms as u64);
        self.turns_assigned_until = turn.min(now + self.config.max_retry_after);
        self.turns_assigned_until.since(now)
    }

    /// Whether a waiting request can be admitted now.
    pub fn has_room(&self, objective: LatencyObjective, now: Millis) -> bool {
        self.limit(objective, now).is_none_or(|limit| (self.streams + 1) as f64 <= limit)
    }

    /// Records that a request begins to wait.
    pub fn wait_began(&mut self) {
        self.waiting += 1;
    }

    /// Records that a request no longer waits.
    pub fn wait_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records the start of a stream.
    pub fn began(&mut self) {
        self.streams += 1;
    }

    /// Records the time to a stream's first event.
    pub fn record_first_event(&mut self, after_ms: f64) {
        update_mean(&mut self.first_ms, after_ms);
    }

    /// Records the end of a stream, with its duration if it sent any event.
    pub fn ended(&mut self, after_ms: Option<f64>) {
        self.streams = self.streams.saturating_sub(1);
        self.ended += 1;
        if let Some(after_ms) = after_ms {
            update_mean(&mut self.stream_ms, after_ms);
        }
    }

    /// Mean time to a stream's first event.
    pub fn first_ms(&self) -> f64 {
        self.first_ms
    }

    /// The open streams, with their means.
    pub fn summary(&self) -> StreamSummary {
        StreamSummary {
            open: self.streams as u32,
            ended: self.ended,
            stream_ms: self.stream_ms,
            first_ms: self.first_ms,
            pass_ms: self.pass_ms + self.config.deviations * self.deviation_ms,
        }
    }
}

fn update_mean(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += NEWEST_STREAM_WEIGHT * (value - *mean);
    }
}
