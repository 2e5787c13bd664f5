//! Which troubles come when: drawn from a seed, overlapping.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// What goes wrong, or is planned.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FaultKind {
    /// A gateway is killed, and started again when it is over.
    Kill,
    /// A gateway is killed, and off for longer than others remember it.
    Off,
    /// All gateways are killed at once, and started again.
    KillAll,
    /// A gateway stands still.
    Pause,
    /// A gateway is told to stop, and started again once it has.
    Stop,
    /// A gateway is told that its settings have changed.
    HangUp,
    /// The store refuses.
    StoreBusy,
    /// The store takes calls and says nothing.
    StoreSilent,
    /// The store does what it is told and loses the answers.
    StoreLosesAnswers,
    /// The store turns one gateway away.
    StoreTurnsAway,
    /// The store forgets its history.
    StoreForgets,
    /// The store is away for a moment, and comes back from a copy some seconds old.
    StoreDrill,
    /// Connections of a gateway to the store go silent for good; new ones work.
    StoreMute,
    /// Connections of a gateway to the store are reset.
    StoreReset,
    /// The way of a gateway to the store is slow.
    StoreSlow,
    /// What a gateway sends to the store is held up.
    StoreHoldsRequests,
    /// What the store sends to a gateway is held up.
    StoreHoldsAnswers,
    /// Connections to a server go silent for good; new ones work.
    ServerMute,
    /// Connections to a server are reset.
    ServerReset,
    /// The way to a server is slow.
    ServerSlow,
    /// What is sent to a server is held up.
    ServerHoldsRequests,
    /// What a server sends is held up.
    ServerHoldsAnswers,
    /// A server crashes; another comes when it is over.
    ServerCrash,
    /// A server says that it leaves, and another comes.
    ServerDrain,
    /// A server refuses what it is sent.
    ServerRefuses,
    /// A server fails what it is sent.
    ServerFails,
    /// A server runs what it is sent, and loses the answers.
    ServerLosesAnswers,
    /// A server answers twice.
    ServerAnswersTwice,
    /// A server's answers lack their signature.
    ServerForges,
    /// A request that crashes each server which runs it comes again and again.
    CrashingRequest,
    /// A server turns away what it is sent, and asks for rest.
    ServerAsksRest,
    /// A server says in its answers that it leaves, and the list does not; another comes.
    ServerSaysItLeaves,
    /// A server names in its answers how many requests a second it takes.
    ServerNamesLimit,
}

/// All kinds, with the names by which they are chosen.
pub const FAULT_KINDS: [(&str, FaultKind); 33] = [
    ("kill", FaultKind::Kill),
    ("off", FaultKind::Off),
    ("kill-all", FaultKind::KillAll),
    ("pause", FaultKind::Pause),
    ("stop", FaultKind::Stop),
    ("hang-up", FaultKind::HangUp),
    ("store-busy", FaultKind::StoreBusy),
    ("store-silent", FaultKind::StoreSilent),
    ("store-loses-answers", FaultKind::StoreLosesAnswers),
    ("store-turns-away", FaultKind::StoreTurnsAway),
    ("store-forgets", FaultKind::StoreForgets),
    ("store-drill", FaultKind::StoreDrill),
    ("store-mute", FaultKind::StoreMute),
    ("store-reset", FaultKind::StoreReset),
    ("store-slow", FaultKind::StoreSlow),
    ("store-holds-requests", FaultKind::StoreHoldsRequests),
    ("store-holds-answers", FaultKind::StoreHoldsAnswers),
    ("server-mute", FaultKind::ServerMute),
    ("server-reset", FaultKind::ServerReset),
    ("server-slow", FaultKind::ServerSlow),
    ("server-holds-requests", FaultKind::ServerHoldsRequests),
    ("server-holds-answers", FaultKind::ServerHoldsAnswers),
    ("server-crash", FaultKind::ServerCrash),
    ("server-drain", FaultKind::ServerDrain),
    ("server-refuses", FaultKind::ServerRefuses),
    ("server-fails", FaultKind::ServerFails),
    ("server-loses-answers", FaultKind::ServerLosesAnswers),
    ("server-answers-twice", FaultKind::ServerAnswersTwice),
    ("server-forges", FaultKind::ServerForges),
    ("crashing-request", FaultKind::CrashingRequest),
    ("server-asks-rest", FaultKind::ServerAsksRest),
    ("server-says-it-leaves", FaultKind::ServerSaysItLeaves),
    ("server-names-limit", FaultKind::ServerNamesLimit),
];

impl Display for FaultKind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let named = FAULT_KINDS.iter().find(|(_, kind)| kind == self);
        formatter.write_str(named.map_or("", |(name, _)| name))
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(text: &str) -> Result<FaultKind, String> {
        let named = FAULT_KINDS.iter().find(|(name, _)| *name == text);
        named.map(|(_, kind)| *kind).ok_or_else(|| {
            let names: Vec<&str> = FAULT_KINDS.iter().map(|(name, _)| *name).collect();
            format!("`{text}` is no fault; there are {}", names.join(", "))
        })
    }
}

/// A trouble: what, whom, when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// When it begins, from the start of traffic.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub duration: Duration,
    /// What it is.
    pub kind: FaultKind,
    /// Whom it strikes: of all that fit, the one with this number, counted round.
    pub target: usize,
}

impl Display for Fault {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let (at, duration) = (self.at.as_secs_f64(), self.duration.as_secs_f64());
        write!(formatter, "{at:.2} s {} {} for {duration:.2} s", self.kind, self.target)
    }
}

/// Mean time between two troubles: with those that last for two seconds, one or two go on at a time.
const MEAN_GAP_MS: u64 = 1_300;

/// Time at the end without trouble: all shall be served again before it is over.
pub const FAULT_FREE_END: Duration = Duration::from_secs(8);

/// Shortest and longest trouble.
const DURATION_MS: std::ops::Range<u64> = 300..4_000;

/// One trouble of so many lasts several times as long: others forget and are forgotten meanwhile.
const LONG_ONE_IN: u32 = 8;

/// Length of a spell of troubles, and of the calm after it, in which only planned work goes on: what is
/// promised within a time is judged there.
const FAULT_PERIOD_MS: std::ops::Range<u64> = 5_000..14_000;
const QUIET_PERIOD_MS: u64 = 12_000;

/// Time from one request that crashes servers to the next, and for which each comes again.
const CRASHING_REQUEST_GAP_MS: std::ops::Range<u64> = 4_000..40_000;
const CRASHING_REQUEST_DURATION_MS: std::ops::Range<u64> = 6_000..20_000;

/// Planned work, and what servers ask: no excuse for anything.
pub const PLANNED: [FaultKind; 6] = [
    FaultKind::Stop,
    FaultKind::HangUp,
    FaultKind::ServerDrain,
    FaultKind::ServerAsksRest,
    FaultKind::ServerSaysItLeaves,
    FaultKind::ServerNamesLimit,
];

/// Kinds that are drawn apart: without them, a seed's troubles are the same.
const SEPARATELY_DRAWN: [FaultKind; 5] = [
    FaultKind::CrashingRequest,
    FaultKind::ServerAsksRest,
    FaultKind::ServerSaysItLeaves,
    FaultKind::ServerNamesLimit,
    FaultKind::StoreDrill,
];

/// Time from one drill to the next; one of so many is followed by another after the shorter time.
const DRILL_GAP_MS: std::ops::Range<u64> = 8_000..20_000;
const SHORT_DRILL_GAP_MS: std::ops::Range<u64> = 200..3_000;
const SHORT_DRILL_GAP_ONE_IN: u32 = 3;

/// How long the store is away in a drill.
const DRILL_DURATION_MS: std::ops::Range<u64> = 100..2_500;

/// Time from one trouble in which a server asks something to the next.
const NOTICE_GAP_MS: std::ops::Range<u64> = 1_000..8_000;

/// How long a gateway is off that others are to forget: they do after a minute.
const OFF_DURATION: Duration = Duration::from_secs(80);

/// The troubles of a seed, in order.
pub fn draw(seed: u64, length: Duration, kinds: &[FaultKind]) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (separate, kinds): (Vec<FaultKind>, Vec<FaultKind>) =
        kinds.iter().partition(|kind| SEPARATELY_DRAWN.contains(kind));
    let end = length.saturating_sub(FAULT_FREE_END);
    let planned: Vec<FaultKind> =
        kinds.iter().copied().filter(|kind| PLANNED.contains(kind)).collect();
    let (mut faults, mut begin) = (Vec::new(), Duration::ZERO);
    while begin < end {
        let period_end = begin + Duration::from_millis(rng.random_range(FAULT_PERIOD_MS));
        draw_period(&mut rng, &kinds, begin..period_end.min(end), &mut faults);
        begin = period_end + Duration::from_millis(QUIET_PERIOD_MS);
        draw_period(&mut rng, &planned, period_end..begin.min(end), &mut faults);
    }
    // It goes on into the calm, where others have got over it.
    let is_off = |fault: &&mut Fault| fault.kind == FaultKind::Off;
    faults
        .iter_mut()
        .filter(is_off)
        .for_each(|fault| fault.duration = OFF_DURATION.min(end - fault.at));
    for kind in separate {
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        match kind {
            FaultKind::CrashingRequest => draw_crashing_requests(&mut rng, end, &mut faults),
            FaultKind::StoreDrill => draw_drills(&mut rng, end, &mut faults),
            _ => draw_notices(&mut rng, kind, end, &mut faults),
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Adds servers that ask something, at any time.
fn draw_notices(rng: &mut ChaCha8Rng, kind: FaultKind, end: Duration, faults: &mut Vec<Fault>) {
    // Those of different kinds do not come at the same moments.
    let mut at = Duration::from_millis(rng.random_range(NOTICE_GAP_MS) / (2 + kind as u64 % 2));
    while at < end {
        // A limit is judged once it has been named for some seconds.
        let times = if kind == FaultKind::ServerNamesLimit { 4 } else { 1 };
        let duration = Duration::from_millis(rng.random_range(DURATION_MS)) * times;
        let target = rng.random_range(0..1_000);
        faults.push(Fault { at, duration: duration.min(end - at), kind, target });
        at += Duration::from_millis(rng.random_range(NOTICE_GAP_MS));
    }
}

/// Adds drills of the store, at any time.
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

/// Adds requests that crash servers, at any time.
fn draw_crashing_requests(rng: &mut ChaCha8Rng, end: Duration, faults: &mut Vec<Fault>) {
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(CRASHING_REQUEST_GAP_MS));
        if at >= end {
            return;
        }
        let duration =
            Duration::from_millis(rng.random_range(CRASHING_REQUEST_DURATION_MS)).min(end - at);
        let target = rng.random_range(0..1_000);
        faults.push(Fault { at, duration, kind: FaultKind::CrashingRequest, target });
    }
}

/// Troubles that begin and end in a span.
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
