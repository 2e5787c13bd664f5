//! Times and bounds of a switch, where reports are late and where they are fresh.

use crate::clock::Millis;

/// Times and bounds of a switch.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Pause between two looks: longer than a report is old, so that what was taken before the
    /// pause shows in the next report.
    pub poll_interval: Millis,
    /// How far ahead of the newest report a switch is set, in passes: the report's age. If the pass
    /// has begun already, one that is later by half of this is tried at once. A pass that is held
    /// for the round trips that follow costs less than one that is far ahead.
    pub passes_ahead: u64,
    /// How much further ahead it is set once an order got no answer, in time: more may get none, and
    /// the group would stand still until they are repeated. The old map stays in force for as long.
    pub unanswered_margin: Millis,
    /// How long a pass takes.
    pub pass_length: Millis,
    /// Whether all ranks are looked at before a pass is held, also where they should be done: one that
    /// does not answer then would leave the group standing still until it is back.
    pub polls_before_hold: bool,
    /// Pause before an order is repeated that a rank was not ready for.
    pub retry_pause: Millis,
    /// Conflicts of a phase after which ranks are looked at.
    pub max_conflicts: u32,
    /// Rounds without progress after which the group counts as changed.
    pub max_idle_rounds: u32,
}

impl Default for Config {
    /// Reports of the users' engines are 200 ms old, and their passes take 35 to 90 ms.
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
    /// Where reports are fresh: a look shows what was taken before it, and what gets no answer is
    /// repeated after 60 ms, so that four tries in a row fit into what is doubtful. Set in passes, eight
    /// of 120 ms each, the map of a group of 24 ranks came 1.2 s late while a tenth of orders is late.
    pub fn for_fresh_reports() -> Config {
        Config {
            poll_interval: Millis(40),
            passes_ahead: 2,
            unanswered_margin: Millis(250),
            polls_before_hold: true,
            ..Config::default()
        }
    }

    /// How many passes further ahead a switch is set once an order got no answer.
    pub(super) fn unanswered_margin_passes(&self) -> u64 {
        self.unanswered_margin.0.div_ceil(self.pass_length.0.max(1))
    }
}
