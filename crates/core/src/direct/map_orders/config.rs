//! Configuration of a switch of an expert map: pauses, margins and limits on retries.
//! Input: the pass length, which the leader sets. State: values that a switch only reads.
//! They decide when a switch polls, retries, or ends; presets are for late and for fresh reports.

use crate::clock::Millis;

/// Times and bounds of a switch.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Pause between two polls. It is longer than the age of a report, so that an order that was
    /// accepted before the pause shows in the next report.
    pub poll_interval: Millis,
    /// How many passes after the newest reported one a map is to come into force: as many as a
    /// report is old. If that pass has begun already, one that is later by half of this number is
    /// tried at once. Holding a pass for the round trips that follow costs less than a pass that is
    /// far ahead.
    pub passes_ahead: u64,
    /// Time by which a map comes into force later once an order got no answer. More orders may get
    /// no answer, and the group would stall until they are retried. The old map stays in force
    /// meanwhile.
    pub unanswered_margin: Millis,
    /// Duration of a pass.
    pub pass_length: Millis,
    /// Whether all ranks are polled before a pass is held, even if they should have copied the map
    /// by then. A rank that does not answer while a pass is held stalls the group until it is back.
    pub polls_before_hold: bool,
    /// Pause before the retry of an order for which a rank was not ready.
    pub retry_pause: Millis,
    /// Expected conflicts in a phase after which the ranks are polled.
    pub max_conflicts: u32,
    /// Rounds without progress after which the switch ends and the group counts as changed.
    pub max_idle_rounds: u32,
}

/// Length of passes from which a map is to come into force with the next pass: a poll and the hold
/// take less time, and each further pass with the old map costs more than a hold that comes late.
const LONG_PASS: Millis = Millis(120);

impl Default for Config {
    /// Values for engines whose reports are 200 ms old and whose passes take 35 to 90 ms.
    fn default() -> Self {
        Config {
            poll_interval: Millis(250),
            passes_ahead: 6,
            unanswered_margin: Millis(1_000),
            pass_length: Millis(50),
            polls_before_hold: false,
            retry_pause: Millis(40),
            max_conflicts: 12,
            max_idle_rounds: 100,
        }
    }
}

impl Config {
    /// Values for fresh reports. A poll shows each order that was accepted before it. An order
    /// without an answer is retried after 60 ms, so four attempts in a row fit into
    /// `unanswered_margin`. The margin is a time, not a number of passes: as eight passes of 120 ms
    /// each, it delayed the map of a group of 24 ranks by 1.2 s while a tenth of the orders was
    /// late.
    pub fn for_fresh_reports() -> Config {
        Config {
            poll_interval: Millis(40),
            passes_ahead: 2,
            unanswered_margin: Millis(250),
            polls_before_hold: true,
            ..Config::default()
        }
    }

    /// The same values for passes of this length.
    pub fn with_pass_length(self, pass_length: Millis) -> Config {
        let passes_ahead = if pass_length >= LONG_PASS { 1 } else { self.passes_ahead };
        Config { pass_length, passes_ahead, ..self }
    }

    /// `unanswered_margin` as a number of passes, rounded up.
    pub(super) fn unanswered_margin_passes(&self) -> u64 {
        self.unanswered_margin.0.div_ceil(self.pass_length.0.max(1))
    }
}
