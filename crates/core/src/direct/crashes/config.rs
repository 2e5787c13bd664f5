//! Configuration of the evidence of crashes. It has no input and no state.
//! Decides after how many crashes and for how long a request is refused or held back.

use crate::clock::Millis;

/// Thresholds, times and limits of the stored state.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of crashes from which a request is refused. Two can be a coincidence: a stream that
    /// is resumed after a crash can be at the next one. The users' rule counts from the third.
    pub min_crashes: usize,
    /// The same for crashes in [`Stage::Starting`], which lasts for a tenth of the run time.
    pub min_starts: usize,
    /// The same for a part of prompts, at crashes in [`Stage::Starting`]: many requests share one, and
    /// two of them can begin at servers that crash together. The users' rule counts from the fifth.
    pub min_part_starts: usize,
    /// Number of different times at which crashes must have come that make a part refused although it
    /// was in other stages there, which last long: servers that crash together, as in a loss of power,
    /// have many parts in common.
    pub min_part_times: usize,
    /// Crashes within this time count as one time.
    pub same_time: Millis,
    /// Number of further crashes from which a request is refused against which the others are weak
    /// evidence. The users' rule allows three attempts after the third crash.
    pub extra_crashes: usize,
    /// Number of different times at which crashes must have come for something to be sent one attempt at
    /// a time because it was there more often than by chance; refused from `extra_crashes` more on.
    pub min_coincidences: usize,
    /// How long that lasts after the latest crash at which it was.
    pub coincidence_ttl: Millis,
    /// Natural logarithm of how much more likely it must be that it has to do with these crashes, for
    /// that.
    pub min_weak_log_ratio: f64,
    /// The same for a refusal. Many requests and parts are weighed, of which nearly all are innocent.
    pub min_culprit_log_ratio: f64,
    /// Number of crashes from which a part that had been in use is refused although new parts, each of
    /// which may be the cause, were there.
    pub min_accompanied: usize,
    /// Number of abandoned attempts that clear a request if each lasted longer than the request had
    /// run at one of its crashes; a single one does so if it lasted longer than at all of them.
    pub min_abandoned: usize,
    /// How long a request is held back after a crash at which it was in [`Stage::Starting`]. A
    /// server of the users' deployment is back within 3.3 s, and its group opens 0.6 s later.
    pub hold_back: Millis,
    /// Upper bound of an extra hold-back that differs between gateways. Otherwise all gateways
    /// would send the requests that arrived meanwhile at the same time, and each would crash one
    /// server. A crash report reaches other gateways within some tens of milliseconds.
    pub hold_back_spread: Millis,
    /// How long a report counts: as long as a person needs to examine what was refused. A request
    /// that still crashes servers afterwards causes three more crashes in each such period.
    pub report_ttl: Millis,
    /// Maximum number of crash reports, and of cleared requests; the oldest are evicted first.
    pub max_crashes: usize,
    /// Maximum number of requests and parts in one report. A server of the users' deployment runs 12
    /// requests at once, and most of their parts are the same.
    pub max_suspects: usize,
    /// Number of the latest attempts of this gateway that ended well which are stored, for crash
    /// reports that are late and as evidence for requests that are sent repeatedly. A gateway of
    /// the users' deployment has 13 a second.
    pub max_endings: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            min_crashes: 3,
            min_starts: 2,
            min_part_starts: 3,
            min_part_times: 2,
            same_time: Millis(500),
            extra_crashes: 2,
            min_coincidences: 3,
            coincidence_ttl: Millis(60_000),
            min_weak_log_ratio: 3.0,
            min_culprit_log_ratio: 5.5,
            min_accompanied: 8,
            min_abandoned: 3,
            hold_back: Millis(5_000),
            hold_back_spread: Millis(5_000),
            report_ttl: Millis(600_000),
            max_crashes: 256,
            max_suspects: 128,
            max_endings: 2_048,
        }
    }
}
