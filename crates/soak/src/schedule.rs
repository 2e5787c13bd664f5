//! Fault schedule: draws overlapping faults and planned operations from a seed.
//! Input: a seed, the duration of the traffic and the kinds of faults. State: none.
//! Decides the time, kind, duration and target of each fault.

mod kinds;

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use self::kinds::FAULT_KINDS;
pub use self::kinds::FaultKind;

/// A fault with its time and target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Time of its start, from the start of the traffic.
    pub at: Duration,
    /// How long it is active; kinds that act once ignore it.
    pub duration: Duration,
    /// What happens.
    pub kind: FaultKind,
    /// Selects the gateway or server affected: this number modulo the number of candidates.
    pub target: usize,
}

impl Display for Fault {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let (at, duration) = (self.at.as_secs_f64(), self.duration.as_secs_f64());
        write!(formatter, "{at:.2} s {} {} for {duration:.2} s", self.kind, self.target)
    }
}

impl FromStr for Fault {
    type Err = String;

    /// Reads a fault as [`Display`] prints it.
    fn from_str(text: &str) -> Result<Fault, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let [at_s, "s", kind, target, "for", duration_s, "s"] = words[..] else {
            return Err(format!("`{text}` is not `AT s KIND TARGET for DURATION s`"));
        };
        let seconds = |number: &str| {
            let parsed = number.parse().ok().and_then(|s| Duration::try_from_secs_f64(s).ok());
            parsed.ok_or_else(|| format!("`{number}` is not a time in seconds"))
        };
        Ok(Fault {
            at: seconds(at_s)?,
            duration: seconds(duration_s)?,
            kind: kind.parse()?,
            target: target.parse().map_err(|_| format!("`{target}` is not a number"))?,
        })
    }
}

/// Mean time between two faults. With a duration of about 2 s each, one or two are active at a
/// time.
const MEAN_GAP_MS: u64 = 1_300;

/// Fault-free time at the end of the traffic: all gateways must serve again before it ends.
pub const FAULT_FREE_END: Duration = Duration::from_secs(8);

/// Range of the duration of a fault.
const DURATION_MS: std::ops::Range<u64> = 300..4_000;

/// One in this many faults lasts four times as long, so that records held by other processes expire
/// during it.
const LONG_ONE_IN: u32 = 8;

/// Length of a period with faults, and of the quiet period after it, which has planned operations
/// only. Time-bounded guarantees are checked in quiet periods.
const FAULT_PERIOD_MS: std::ops::Range<u64> = 5_000..14_000;
const QUIET_PERIOD_MS: u64 = 12_000;

/// Time between the starts of two crashing requests, and for how long each is sent repeatedly.
const CRASHING_REQUEST_GAP_MS: std::ops::Range<u64> = 4_000..40_000;
const CRASHING_REQUEST_DURATION_MS: std::ops::Range<u64> = 6_000..20_000;

/// When the first part that crashes servers comes, as a fraction of the time with faults.
const FIRST_PART_AT: std::ops::Range<f64> = 0.1..0.5;

/// Planned operations, notices of servers, and peers that send without end: all guarantees hold during
/// them.
pub const PLANNED: [FaultKind; 15] = [
    FaultKind::Stop,
    FaultKind::HangUp,
    FaultKind::ServerDrain,
    FaultKind::ServerAsksRest,
    FaultKind::ServerSaysItLeaves,
    FaultKind::ServerNamesLimit,
    FaultKind::ServerUnframed,
    FaultKind::Evacuation,
    FaultKind::PlannedSeries,
    FaultKind::ConfigurationSeries,
    FaultKind::ServerEndless,
    FaultKind::CallersEndless,
    FaultKind::PeersEndless,
    FaultKind::GroupRelease,
    FaultKind::StopAgain,
];

/// Kinds that are drawn from random generators of their own, so that the other faults of a seed are
/// the same with and without them.
const SEPARATELY_DRAWN: [FaultKind; 24] = [
    FaultKind::CrashingRequest,
    FaultKind::CrashingPart,
    FaultKind::ServerUnframed,
    FaultKind::ServerAsksRest,
    FaultKind::ServerSaysItLeaves,
    FaultKind::ServerNamesLimit,
    FaultKind::StoreDrill,
    FaultKind::Evacuation,
    FaultKind::ServerReturnsCold,
    FaultKind::Overload,
    FaultKind::RestartSeries,
    FaultKind::KillSeries,
    FaultKind::PlannedSeries,
    FaultKind::ConfigurationSeries,
    FaultKind::FirstsPause,
    FaultKind::ServerEndless,
    FaultKind::StoreEndless,
    FaultKind::CallersEndless,
    FaultKind::PeersEndless,
    FaultKind::GroupTrouble,
    FaultKind::GroupRelease,
    FaultKind::ServerEnds,
    FaultKind::LockStepRelease,
    FaultKind::StopAgain,
];

/// Time between two drills; one in so many is followed by the next after the shorter time.
const DRILL_GAP_MS: std::ops::Range<u64> = 8_000..20_000;
const SHORT_DRILL_GAP_MS: std::ops::Range<u64> = 200..3_000;
const SHORT_DRILL_GAP_ONE_IN: u32 = 3;

/// How long the store is unavailable in a drill.
const DRILL_DURATION_MS: std::ops::Range<u64> = 100..2_500;

/// Time between the starts of two faults in which a server sends a notice.
const NOTICE_GAP_MS: std::ops::Range<u64> = 1_000..8_000;

/// Time from the start of a period with faults to a fault that is drawn for each such period.
const PERIOD_DELAY_MS: std::ops::Range<u64> = 0..1_500;

/// How long a burst of callers and a series of restarts last.
const OVERLOAD_DURATION_MS: std::ops::Range<u64> = 4_000..8_000;
const RESTARTS_DURATION_MS: std::ops::Range<u64> = 6_000..12_000;

/// How long a series of kills lasts: several kills, each followed by some seconds of service.
const KILLS_DURATION_MS: std::ops::Range<u64> = 8_000..14_000;

/// Time between the starts of two series of planned operations, and how long each lasts.
const SERIES_GAP_MS: std::ops::Range<u64> = 9_000..25_000;
const SERIES_DURATION_MS: std::ops::Range<u64> = 3_000..8_000;

/// How long a series of stops of one gateway lasts: two stops at least.
const STOPS_DURATION_MS: std::ops::Range<u64> = 9_000..14_000;

/// Time between the starts of two faults of groups, and how long each lasts.
const TROUBLE_GAP_MS: std::ops::Range<u64> = 1_500..5_000;
const TROUBLE_DURATION_MS: std::ops::Range<u64> = 1_200..1_900;
const RELEASE_GAP_MS: std::ops::Range<u64> = 5_000..12_000;

/// Time between two planned ends of servers: several are leaving at any time.
const ENDS_GAP_MS: std::ops::Range<u64> = 500..2_500;

/// How long a gateway is off: other gateways remove its record after 60 s.
const OFF_DURATION: Duration = Duration::from_secs(80);

/// Returns the faults of a seed, in order of their start.
pub fn draw(seed: u64, length: Duration, kinds: &[FaultKind]) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (separate, kinds): (Vec<FaultKind>, Vec<FaultKind>) =
        kinds.iter().partition(|kind| SEPARATELY_DRAWN.contains(kind));
    let end = length.saturating_sub(FAULT_FREE_END);
    let planned: Vec<FaultKind> =
        kinds.iter().copied().filter(|kind| PLANNED.contains(kind)).collect();
    let (mut faults, mut begin, mut periods) = (Vec::new(), Duration::ZERO, Vec::new());
    while begin < end {
        let period_end = begin + Duration::from_millis(rng.random_range(FAULT_PERIOD_MS));
        draw_period(&mut rng, &kinds, begin..period_end.min(end), &mut faults);
        periods.push(begin..period_end.min(end));
        begin = period_end + Duration::from_millis(QUIET_PERIOD_MS);
        draw_period(&mut rng, &planned, period_end..begin.min(end), &mut faults);
    }
    // It continues into quiet periods, after the other gateways have recovered from its loss.
    let is_off = |fault: &&mut Fault| fault.kind == FaultKind::Off;
    faults
        .iter_mut()
        .filter(is_off)
        .for_each(|fault| fault.duration = OFF_DURATION.min(end - fault.at));
    for kind in separate {
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        match kind {
            FaultKind::CrashingRequest => {
                draw_crashing_requests(&mut rng, kind, end, &mut faults);
            }
            FaultKind::CrashingPart => {
                // At other times than crashing requests.
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(1));
                draw_crashing_requests(&mut rng, kind, end, &mut faults);
            }
            FaultKind::StoreDrill => draw_drills(&mut rng, end, &mut faults),
            FaultKind::Overload => {
                draw_in_periods(&mut rng, kind, &periods, OVERLOAD_DURATION_MS, &mut faults)
            }
            FaultKind::RestartSeries => {
                // At other times than bursts.
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(2));
                draw_in_periods(&mut rng, kind, &periods, RESTARTS_DURATION_MS, &mut faults);
            }
            FaultKind::KillSeries => {
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(4));
                draw_in_periods(&mut rng, kind, &periods, KILLS_DURATION_MS, &mut faults);
            }
            FaultKind::PlannedSeries => {
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(3));
                draw_series(&mut rng, kind, end, &mut faults);
            }
            FaultKind::ConfigurationSeries => {
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(5));
                draw_series(&mut rng, kind, end, &mut faults);
            }
            FaultKind::FirstsPause => {
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(6));
                draw_series(&mut rng, kind, end, &mut faults);
            }
            FaultKind::StoreEndless | FaultKind::CallersEndless | FaultKind::PeersEndless => {
                // At other times than each other, and than servers that send without end.
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(8 + kind as u32));
                draw_notices(&mut rng, kind, end, &mut faults);
            }
            FaultKind::GroupTrouble => {
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(17));
                let spans = (TROUBLE_GAP_MS, TROUBLE_DURATION_MS);
                draw_at_gaps(&mut rng, kind, spans, end, &mut faults);
            }
            FaultKind::GroupRelease => {
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(19));
                let spans = (RELEASE_GAP_MS, SERIES_DURATION_MS);
                draw_at_gaps(&mut rng, kind, spans, end, &mut faults);
            }
            FaultKind::ServerEnds => {
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(21));
                let spans = (ENDS_GAP_MS, DURATION_MS);
                draw_at_gaps(&mut rng, kind, spans, end, &mut faults);
            }
            FaultKind::LockStepRelease => {
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(23));
                draw_series(&mut rng, kind, end, &mut faults);
            }
            FaultKind::StopAgain => {
                let mut rng = ChaCha8Rng::seed_from_u64((!seed).rotate_left(24));
                let spans = (SERIES_GAP_MS, STOPS_DURATION_MS);
                draw_at_gaps(&mut rng, kind, spans, end, &mut faults);
            }
            _ => draw_notices(&mut rng, kind, end, &mut faults),
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Adds faults of a kind in which servers or operators send notices, or servers return cold, at any
/// time.
fn draw_notices(rng: &mut ChaCha8Rng, kind: FaultKind, end: Duration, faults: &mut Vec<Fault>) {
    // The divisor differs between neighbouring kinds, so that their faults do not start together.
    let mut at = Duration::from_millis(rng.random_range(NOTICE_GAP_MS) / (2 + kind as u64 % 2));
    while at < end {
        // Limits and evacuations are checked only after they have been in force for some seconds.
        let is_long = matches!(
            kind,
            FaultKind::ServerNamesLimit | FaultKind::Evacuation | FaultKind::ServerUnframed
        );
        let times = if is_long { 4 } else { 1 };
        let duration = Duration::from_millis(rng.random_range(DURATION_MS)) * times;
        let target = rng.random_range(0..1_000);
        faults.push(Fault { at, duration: duration.min(end - at), kind, target });
        // Servers are replaced some seconds after a crash, and others have to be left meanwhile.
        let crashes = kind == FaultKind::ServerReturnsCold;
        let gap = Duration::from_millis(rng.random_range(NOTICE_GAP_MS));
        at += if crashes { gap * 3 } else { gap };
    }
}

/// Adds store drills, at any time.
fn draw_drills(rng: &mut ChaCha8Rng, end: Duration, faults: &mut Vec<Fault>) {
    let mut at = Duration::from_millis(rng.random_range(SHORT_DRILL_GAP_MS));
    while at < end {
        let duration = Duration::from_millis(rng.random_range(DRILL_DURATION_MS)).min(end - at);
        let target = rng.random_range(0..10_000);
        faults.push(Fault { at, duration, kind: FaultKind::StoreDrill, target });
        let short_gap = rng.random_range(0..SHORT_DRILL_GAP_ONE_IN) == 0;
        let gap_ms = rng.random_range(if short_gap { SHORT_DRILL_GAP_MS } else { DRILL_GAP_MS });
        at += duration + Duration::from_millis(gap_ms);
    }
}

/// Adds a fault of a kind to each period with faults: in quiet periods it would excuse what the
/// service guarantees there.
fn draw_in_periods(
    rng: &mut ChaCha8Rng,
    kind: FaultKind,
    periods: &[std::ops::Range<Duration>],
    duration_ms: std::ops::Range<u64>,
    faults: &mut Vec<Fault>,
) {
    for period in periods {
        let at = period.start + Duration::from_millis(rng.random_range(PERIOD_DELAY_MS));
        let duration = Duration::from_millis(rng.random_range(duration_ms.clone()));
        let target = rng.random_range(0..1_000);
        let duration = duration.min(period.end.saturating_sub(at));
        if !duration.is_zero() {
            faults.push(Fault { at, duration, kind, target });
        }
    }
}

/// Adds series of planned operations, at any time.
fn draw_series(rng: &mut ChaCha8Rng, kind: FaultKind, end: Duration, faults: &mut Vec<Fault>) {
    draw_at_gaps(rng, kind, (SERIES_GAP_MS, SERIES_DURATION_MS), end, faults);
}

/// Adds faults with these times between their starts, and durations, at any time.
fn draw_at_gaps(
    rng: &mut ChaCha8Rng,
    kind: FaultKind,
    (gap_ms, duration_ms): (std::ops::Range<u64>, std::ops::Range<u64>),
    end: Duration,
    faults: &mut Vec<Fault>,
) {
    let mut at = Duration::from_millis(rng.random_range(gap_ms.clone()) / 2);
    while at < end {
        let duration = Duration::from_millis(rng.random_range(duration_ms.clone())).min(end - at);
        let target = rng.random_range(0..1_000);
        faults.push(Fault { at, duration, kind, target });
        at += Duration::from_millis(rng.random_range(gap_ms.clone()));
    }
}

/// Adds requests, or parts of prompts, that crash servers, at any time.
fn draw_crashing_requests(
    rng: &mut ChaCha8Rng,
    kind: FaultKind,
    end: Duration,
    faults: &mut Vec<Fault>,
) {
    let gap =
        |rng: &mut ChaCha8Rng| Duration::from_millis(rng.random_range(CRASHING_REQUEST_GAP_MS));
    // A run with parts that crash servers has one at least, so that it shows what becomes of them.
    let mut at = match kind {
        FaultKind::CrashingPart => end.mul_f64(rng.random_range(FIRST_PART_AT)),
        _ => gap(rng),
    };
    while at < end {
        let duration =
            Duration::from_millis(rng.random_range(CRASHING_REQUEST_DURATION_MS)).min(end - at);
        let target = rng.random_range(0..1_000);
        faults.push(Fault { at, duration, kind, target });
        at += gap(rng);
    }
}

/// Adds faults that start and end within a span.
fn draw_period(
    rng: &mut ChaCha8Rng,
    kinds: &[FaultKind],
    span: std::ops::Range<Duration>,
    faults: &mut Vec<Fault>,
) {
    let mut at = span.start;
    while !kinds.is_empty() {
        at += Duration::from_millis(rng.random_range(0..2 * MEAN_GAP_MS));
        if at >= span.end {
            return;
        }
        let long = rng.random_range(0..LONG_ONE_IN) == 0;
        let duration =
            Duration::from_millis(rng.random_range(DURATION_MS)) * if long { 4 } else { 1 };
        let kind = kinds[rng.random_range(0..kinds.len())];
        let target = rng.random_range(0..1_000);
        faults.push(Fault { at, duration: duration.min(span.end - at), kind, target });
    }
}
