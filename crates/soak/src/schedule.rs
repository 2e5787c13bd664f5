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
pub enum Kind {
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
pub const KINDS: [(&str, Kind); 33] = [
    ("kill", Kind::Kill),
    ("off", Kind::Off),
    ("kill-all", Kind::KillAll),
    ("pause", Kind::Pause),
    ("stop", Kind::Stop),
    ("hang-up", Kind::HangUp),
    ("store-busy", Kind::StoreBusy),
    ("store-silent", Kind::StoreSilent),
    ("store-loses-answers", Kind::StoreLosesAnswers),
    ("store-turns-away", Kind::StoreTurnsAway),
    ("store-forgets", Kind::StoreForgets),
    ("store-drill", Kind::StoreDrill),
    ("store-mute", Kind::StoreMute),
    ("store-reset", Kind::StoreReset),
    ("store-slow", Kind::StoreSlow),
    ("store-holds-requests", Kind::StoreHoldsRequests),
    ("store-holds-answers", Kind::StoreHoldsAnswers),
    ("server-mute", Kind::ServerMute),
    ("server-reset", Kind::ServerReset),
    ("server-slow", Kind::ServerSlow),
    ("server-holds-requests", Kind::ServerHoldsRequests),
    ("server-holds-answers", Kind::ServerHoldsAnswers),
    ("server-crash", Kind::ServerCrash),
    ("server-drain", Kind::ServerDrain),
    ("server-refuses", Kind::ServerRefuses),
    ("server-fails", Kind::ServerFails),
    ("server-loses-answers", Kind::ServerLosesAnswers),
    ("server-answers-twice", Kind::ServerAnswersTwice),
    ("server-forges", Kind::ServerForges),
    ("crashing-request", Kind::CrashingRequest),
    ("server-asks-rest", Kind::ServerAsksRest),
    ("server-says-it-leaves", Kind::ServerSaysItLeaves),
    ("server-names-limit", Kind::ServerNamesLimit),
];

impl Display for Kind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let named = KINDS.iter().find(|(_, kind)| kind == self);
        formatter.write_str(named.map_or("", |(name, _)| name))
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        let named = KINDS.iter().find(|(name, _)| *name == text);
        named.map(|(_, kind)| *kind).ok_or_else(|| {
            let names: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
            format!("`{text}` is no fault; there are {}", names.join(", "))
        })
    }
}

/// A trouble: what, whom, when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Trouble {
    /// When it begins, from the start of traffic.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
    /// What it is.
    pub kind: Kind,
    /// Whom it strikes: of all that fit, the one with this number, counted round.
    pub target: usize,
}

impl Display for Trouble {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let (at, lasts) = (self.at.as_secs_f64(), self.lasts.as_secs_f64());
        write!(formatter, "{at:.2} s {} {} for {lasts:.2} s", self.kind, self.target)
    }
}

/// Mean time between two troubles: with those that last for two seconds, one or two go on at a time.
const MEAN_GAP_MS: u64 = 1_300;

/// Time at the end without trouble: all shall be served again before it is over.
pub const CALM_END: Duration = Duration::from_secs(8);

/// Shortest and longest trouble.
const LASTS_MS: std::ops::Range<u64> = 300..4_000;

/// One trouble of so many lasts several times as long: others forget and are forgotten meanwhile.
const LONG_ONE_OF: u32 = 8;

/// Length of a spell of troubles, and of the calm after it, in which only planned work goes on: what is
/// promised within a time is judged there.
const SPELL_MS: std::ops::Range<u64> = 5_000..14_000;
const CALM_MS: u64 = 12_000;

/// Time from one request that crashes servers to the next, and for which each comes again.
const COMES_MS: std::ops::Range<u64> = 4_000..40_000;
const COMES_AGAIN_MS: std::ops::Range<u64> = 6_000..20_000;

/// Planned work, and what servers ask: no excuse for anything.
pub const PLANNED: [Kind; 6] = [
    Kind::Stop,
    Kind::HangUp,
    Kind::ServerDrain,
    Kind::ServerAsksRest,
    Kind::ServerSaysItLeaves,
    Kind::ServerNamesLimit,
];

/// Kinds that are drawn apart: without them, a seed's troubles are the same.
const APART: [Kind; 5] = [
    Kind::CrashingRequest,
    Kind::ServerAsksRest,
    Kind::ServerSaysItLeaves,
    Kind::ServerNamesLimit,
    Kind::StoreDrill,
];

/// Time from one drill to the next; one of so many is followed by another after the shorter time.
const DRILLS_MS: std::ops::Range<u64> = 8_000..20_000;
const DRILLS_IN_A_ROW_MS: std::ops::Range<u64> = 200..3_000;
const IN_A_ROW_ONE_OF: u32 = 3;

/// How long the store is away in a drill.
const DRILL_LASTS_MS: std::ops::Range<u64> = 100..2_500;

/// Time from one trouble in which a server asks something to the next.
const ASKS_MS: std::ops::Range<u64> = 1_000..8_000;

/// How long a gateway is off that others are to forget: they do after a minute.
const OFF: Duration = Duration::from_secs(80);

/// The troubles of a seed, in order.
pub fn draw(seed: u64, length: Duration, kinds: &[Kind]) -> Vec<Trouble> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (apart, kinds): (Vec<Kind>, Vec<Kind>) =
        kinds.iter().partition(|kind| APART.contains(kind));
    let end = length.saturating_sub(CALM_END);
    let planned: Vec<Kind> = kinds.iter().copied().filter(|kind| PLANNED.contains(kind)).collect();
    let (mut troubles, mut begin) = (Vec::new(), Duration::ZERO);
    while begin < end {
        let over = begin + Duration::from_millis(rng.random_range(SPELL_MS));
        fill(&mut rng, &kinds, begin..over.min(end), &mut troubles);
        begin = over + Duration::from_millis(CALM_MS);
        fill(&mut rng, &planned, over..begin.min(end), &mut troubles);
    }
    // It goes on into the calm, where others have got over it.
    let is_off = |trouble: &&mut Trouble| trouble.kind == Kind::Off;
    troubles
        .iter_mut()
        .filter(is_off)
        .for_each(|trouble| trouble.lasts = OFF.min(end - trouble.at));
    for kind in apart {
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        match kind {
            Kind::CrashingRequest => come_again(&mut rng, end, &mut troubles),
            Kind::StoreDrill => drill(&mut rng, end, &mut troubles),
            _ => ask_again(&mut rng, kind, end, &mut troubles),
        }
    }
    troubles.sort_by_key(|trouble| trouble.at);
    troubles
}

/// Adds servers that ask something, at any time.
fn ask_again(rng: &mut ChaCha8Rng, kind: Kind, end: Duration, troubles: &mut Vec<Trouble>) {
    // Those of different kinds do not come at the same moments.
    let mut at = Duration::from_millis(rng.random_range(ASKS_MS) / (2 + kind as u64 % 2));
    while at < end {
        // A limit is judged once it has been named for some seconds.
        let times = if kind == Kind::ServerNamesLimit { 4 } else { 1 };
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS)) * times;
        let target = rng.random_range(0..1_000);
        troubles.push(Trouble { at, lasts: lasts.min(end - at), kind, target });
        at += Duration::from_millis(rng.random_range(ASKS_MS));
    }
}

/// Adds drills of the store, at any time.
fn drill(rng: &mut ChaCha8Rng, end: Duration, troubles: &mut Vec<Trouble>) {
    let mut at = Duration::from_millis(rng.random_range(DRILLS_IN_A_ROW_MS));
    while at < end {
        let lasts = Duration::from_millis(rng.random_range(DRILL_LASTS_MS)).min(end - at);
        let target = rng.random_range(0..10_000);
        troubles.push(Trouble { at, lasts, kind: Kind::StoreDrill, target });
        let in_a_row = rng.random_range(0..IN_A_ROW_ONE_OF) == 0;
        let gap_ms = rng.random_range(if in_a_row { DRILLS_IN_A_ROW_MS } else { DRILLS_MS });
        at += lasts + Duration::from_millis(gap_ms);
    }
}

/// Adds requests that crash servers, at any time.
fn come_again(rng: &mut ChaCha8Rng, end: Duration, troubles: &mut Vec<Trouble>) {
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(COMES_MS));
        if at >= end {
            return;
        }
        let lasts = Duration::from_millis(rng.random_range(COMES_AGAIN_MS)).min(end - at);
        let target = rng.random_range(0..1_000);
        troubles.push(Trouble { at, lasts, kind: Kind::CrashingRequest, target });
    }
}

/// Troubles that begin and end in a span.
fn fill(
    rng: &mut ChaCha8Rng,
    kinds: &[Kind],
    span: std::ops::Range<Duration>,
    troubles: &mut Vec<Trouble>,
) {
    let mut at = span.start;
    while !kinds.is_empty() {
        at += Duration::from_millis(rng.random_range(0..2 * MEAN_GAP_MS));
        if at >= span.end {
            return;
        }
        let long = rng.random_range(0..LONG_ONE_OF) == 0;
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS)) * if long { 4 } else { 1 };
        let kind = kinds[rng.random_range(0..kinds.len())];
        let target = rng.random_range(0..1_000);
        troubles.push(Trouble { at, lasts: lasts.min(span.end - at), kind, target });
    }
}
