//! How many streams a service's groups bear, judged by how long their passes take.
//!
//! All streams of a group share its passes, and each event waits for a whole one. So a stream more
//! makes every stream slower; slower streams stay longer, more run at once, and beyond a point all of
//! them are late for as long as requests keep coming. A gateway sees passes in the pauses between the
//! events that it relays. From them, and from how many streams it had meanwhile, it works out how many
//! it can have with passes within the pause that is owed; all gateways see the same passes, so each
//! keeps its own share without a word between them.
//!
//! A request beyond that waits for a stream to end if that leaves time for its first event, and is
//! refused at once if not, with the time at which its turn would come. Those refused at one gateway
//! are sent back one after the other, not all at once.

use crate::clock::Millis;
use crate::direct::attempts::MAX_RETRY_AFTER;

/// Part of the newest stream in the means of what streams take: some tens of them last about 2 s.
const NEWEST_STREAM: f64 = 0.1;

/// How passes are judged, and whom they admit. Together, on days with bursts of 1.5 and 1.7 times the
/// traffic: 0.394 to 0.420 of worth in place of 0.343 with groups of 12 ranks, 0.605 in place of 0.597
/// with groups of 8; on days without, 0.687 in place of 0.677, and 0.684 in place of 0.678 (without
/// processor time, three or four seeds each).
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time after which a pass counts for a third. With 400 ms, and with 100 ms, bursts cost 0.01 to
    /// 0.02 more.
    pub decay_ms: f64,
    /// Deviations beyond the mean up to which passes are to stay within the pause that is owed. One
    /// pass that is too long makes a stream late; with none, and with two, bursts cost 0.02 more.
    pub deviations: f64,
    /// Age from which what was seen of passes says nothing: several of the longest.
    pub max_age: Millis,
    /// Part of a service's slots that has to be taken before anything is refused: with fewer requests
    /// it is not their number that makes passes long.
    pub min_busy_fraction: f64,
    /// The same for the number that is aimed at: where passes are too long even with so few, one rank
    /// is slow, and fewer streams would be late all the same.
    pub min_target_fraction: f64,
    /// Part of the time that is left before the first event is due in which a request may wait. What
    /// is expected of a wait is as often too short as too long.
    pub wait_fraction: f64,
    /// Longest time to come back.
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

/// What a route and a service's engines say of pauses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyObjective {
    /// Longest pause between events.
    pub pause_ms: f64,
    /// Length of a pass with next to no work.
    pub min_pass_ms: f64,
}

/// What becomes of a request that comes now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is sent at once.
    Admitted,
    /// It waits for another stream to end.
    Waits,
    /// It would wait too long; its turn would come after this time.
    Refused(Millis),
}

/// Passes, as one gateway sees them through its streams of one service.
#[derive(Clone, Debug)]
pub struct Admission {
    config: Config,
    /// Mean length of a pass, and mean deviation from it.
    pass_ms: f64,
    deviation_ms: f64,
    /// Streams that ran meanwhile.
    streams_mean: f64,
    seen_at: Option<Millis>,
    /// Streams that run now.
    streams: usize,
    /// Requests that wait.
    waiting: usize,
    /// Mean time that a stream takes.
    stream_ms: f64,
    /// Mean time to a stream's first event.
    first_ms: f64,
    /// Until when turns are given to callers that were told to come back.
    promised_until: Millis,
}

impl Admission {
    /// Nothing was seen yet.
    pub fn new(config: Config) -> Admission {
        Admission {
            config,
            pass_ms: 0.0,
            deviation_ms: 0.0,
            streams_mean: 0.0,
            seen_at: None,
            streams: 0,
            waiting: 0,
            stream_ms: 0.0,
            first_ms: 0.0,
            promised_until: Millis::ZERO,
        }
    }

    /// Two events of a stream came one pass apart.
    pub fn record_pass(&mut self, length_ms: f64, now: Millis) {
        let Some(seen_at) = self.seen_at.replace(now) else {
            self.pass_ms = length_ms;
            self.streams_mean = self.streams as f64;
            return;
        };
        // Streams of one group show the same pass: weighed by time, it counts once.
        let span = now.since(seen_at).0 as f64;
        let newest = 1.0 - (-span / self.config.decay_ms).exp();
        let off = length_ms - self.pass_ms;
        self.pass_ms += newest * off;
        self.deviation_ms += newest * (off.abs() - self.deviation_ms);
        self.streams_mean += newest * (self.streams as f64 - self.streams_mean);
    }

    /// Streams that this gateway can have, one at least, as far as that is known.
    pub fn limit(&self, owed: LatencyObjective, now: Millis) -> Option<f64> {
        let seen_at = self.seen_at?;
        if now.since(seen_at) > self.config.max_age {
            return None;
        }
        let long_ms = self.pass_ms + self.config.deviations * self.deviation_ms;
        let (borne, used) = (owed.pause_ms - owed.min_pass_ms, long_ms - owed.min_pass_ms);
        // Passes as short as they can be bear any number.
        (used > 0.0).then(|| (self.streams_mean * borne.max(0.0) / used).max(1.0))
    }

    /// What becomes of a request with this much time until its first event is owed. `busy` is the part
    /// of the service's slots that is taken.
    pub fn decide(
        &mut self,
        owed: LatencyObjective,
        left_ms: f64,
        busy: f64,
        now: Millis,
    ) -> Decision {
        let Some(limit) = self.limit(owed, now) else { return Decision::Admitted };
        let beyond = self.streams as f64 + 1.0 - limit;
        if beyond <= 0.0 || !self.helps_to_refuse(limit, busy) {
            return Decision::Admitted;
        }
        let turn_ms = self.stream_ms / limit;
        let wait_ms = turn_ms * (beyond + self.waiting as f64);
        if wait_ms <= (left_ms - self.first_ms) * self.config.wait_fraction {
            return Decision::Waits;
        }
        Decision::Refused(self.promise_turn(wait_ms, turn_ms, now))
    }

    /// Whether passes are long because of how many streams there are.
    fn helps_to_refuse(&self, limit: f64, busy: f64) -> bool {
        let busy_at_limit = busy * limit / self.streams_mean.max(1.0);
        busy >= self.config.min_busy_fraction && busy_at_limit >= self.config.min_target_fraction
    }

    /// When one that is refused shall come back: after those that were refused before it.
    fn promise_turn(&mut self, wait_ms: f64, turn_ms: f64, now: Millis) -> Millis {
        let free_at = now + Millis(wait_ms as u64);
        let turn = self.promised_until.max(free_at) + Millis(turn_ms as u64);
        self.promised_until = turn.min(now + self.config.max_retry_after);
        self.promised_until.since(now)
    }

    /// Whether one that waits can go now.
    pub fn has_room(&self, owed: LatencyObjective, now: Millis) -> bool {
        self.limit(owed, now).is_none_or(|limit| (self.streams + 1) as f64 <= limit)
    }

    /// A request begins to wait.
    pub fn wait_began(&mut self) {
        self.waiting += 1;
    }

    /// It waits no more.
    pub fn wait_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// A stream begins.
    pub fn began(&mut self) {
        self.streams += 1;
    }

    /// A stream's first event came.
    pub fn record_first_event(&mut self, after_ms: f64) {
        mix(&mut self.first_ms, after_ms);
    }

    /// A stream has ended.
    pub fn ended(&mut self, after_ms: Option<f64>) {
        self.streams = self.streams.saturating_sub(1);
        if let Some(after_ms) = after_ms {
            mix(&mut self.stream_ms, after_ms);
        }
    }

    /// Mean time to a stream's first event.
    pub fn first_ms(&self) -> f64 {
        self.first_ms
    }
}

fn mix(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += NEWEST_STREAM * (value - *mean);
    }
}
