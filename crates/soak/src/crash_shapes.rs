//! How requests with a part that crashes servers are sent, and where in their answers servers end.
//! Input: a random number. State: none.
//! Decides the shape of each part, and names what shapes differ in, so that runs can show what they
//! reached.

use hooktrestle_users_standin::server::CrashPoint;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Paths of the requests: each kind of route.
const PATHS: [(&str, &str); 4] = [
    ("route flow", "/flow/9"),
    ("route brook", "/brook/9"),
    ("route safe", "/safe/9"),
    ("route once", "/once/9"),
];

/// Points at which servers end.
const POINTS: [(&str, CrashPoint); 5] = [
    ("end before the answer", CrashPoint::NoAnswer),
    ("end inside the head", CrashPoint::InsideHead),
    ("end after the head", CrashPoint::AfterHead),
    ("end after the first event", CrashPoint::InsideBody(1)),
    ("end after some events", CrashPoint::InsideBody(4)),
];

/// Place of the part in the prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// After the part that all prompts share.
    Second,
    /// Between two parts that are in no other prompts.
    BetweenTied,
    /// After eight sound parts more.
    Tenth,
}

const PLACES: [(&str, Place); 3] = [
    ("place second", Place::Second),
    ("place between tied parts", Place::BetweenTied),
    ("place tenth", Place::Tenth),
];

/// Whether half of the callers leave before they have an answer.
const LEAVES: [(&str, bool); 2] = [("callers stay", false), ("callers leave", true)];

/// How requests with a part follow each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pace {
    /// A caller sends the next one some time after the answer.
    OneByOne,
    /// They are sent at fixed times, answered or not.
    FixedRate,
}

const PACES: [(&str, Pace); 2] =
    [("requests one by one", Pace::OneByOne), ("requests at a fixed rate", Pace::FixedRate)];

/// Number of parts with the same shape that crash servers at the same time.
const PART_COUNTS: [(&str, usize); 2] = [("one part", 1), ("two parts", 2)];

/// Share of the attempts that crash their server.
const SHARES: [(&str, f64); 5] = [
    ("crashes in all attempts", 1.0),
    ("crashes in .8 of the attempts", 0.8),
    ("crashes in .5 of the attempts", 0.5),
    ("crashes in .3 of the attempts", 0.3),
    ("crashes in .15 of the attempts", 0.15),
];

/// Whether the servers of a group stop together.
const GROUPS: [(&str, bool); 2] = [("servers alone", false), ("servers in groups", true)];

/// Number of servers in a group, and from this number of servers on half of them.
const GROUP_SIZE: usize = 3;
const MIN_SERVERS_FOR_HALVES: usize = 16;

/// The shape of a part.
#[derive(Clone, Copy, Debug)]
pub struct CrashShape {
    /// Path of its requests.
    pub path: &'static str,
    /// Where in their answers servers end.
    pub point: CrashPoint,
    /// Its place in prompts.
    pub place: Place,
    /// Whether half of the callers leave before they have an answer.
    pub leaves: bool,
    /// How its requests follow each other.
    pub pace: Pace,
    /// Number of parts of this shape at the same time.
    pub part_count: usize,
    /// Share of the attempts that crash their server.
    pub share: f64,
    /// What names these.
    pub labels: [&'static str; 7],
}

impl CrashShape {
    /// Draws a shape.
    pub fn draw(seed: u64) -> CrashShape {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (route_label, path) = PATHS[rng.random_range(0..PATHS.len())];
        let (point_label, point) = POINTS[rng.random_range(0..POINTS.len())];
        let (place_label, place) = PLACES[rng.random_range(0..PLACES.len())];
        let (leaves_label, leaves) = LEAVES[usize::from(rng.random_ratio(1, 4))];
        let (pace_label, pace) = PACES[rng.random_range(0..PACES.len())];
        let (count_label, part_count) = PART_COUNTS[usize::from(rng.random_ratio(1, 3))];
        let (share_label, share) = SHARES[rng.random_range(0..SHARES.len())];
        let labels = [
            route_label,
            point_label,
            place_label,
            leaves_label,
            pace_label,
            count_label,
            share_label,
        ];
        CrashShape { path, point, place, leaves, pace, part_count, share, labels }
    }

    /// What names all but the share of the attempts.
    pub fn labels_without_share(&self) -> &[&'static str] {
        &self.labels[..self.labels.len() - 1]
    }

    /// Whether each attempt crashes its server.
    pub fn always_crashes(&self) -> bool {
        self.share >= 1.0
    }
}

/// Draws the number of servers in a group for a run with this many, with its label.
pub fn draw_group_size(seed: u64, servers: usize) -> (&'static str, usize) {
    let (label, has_groups) = GROUPS[seed as usize % GROUPS.len()];
    let size = if servers < MIN_SERVERS_FOR_HALVES { GROUP_SIZE } else { servers / 2 };
    (label, if has_groups { size } else { 1 })
}

/// The labels of all that is drawn.
pub fn labels() -> impl Iterator<Item = &'static str> {
    let names = PATHS.iter().map(|(label, _)| *label);
    let names = names.chain(POINTS.iter().map(|(label, _)| *label));
    let names = names.chain(PLACES.iter().map(|(label, _)| *label));
    let names = names.chain(LEAVES.iter().map(|(label, _)| *label));
    let names = names.chain(PACES.iter().map(|(label, _)| *label));
    let names = names.chain(PART_COUNTS.iter().map(|(label, _)| *label));
    let names = names.chain(SHARES.iter().map(|(label, _)| *label));
    names.chain(GROUPS.iter().map(|(label, _)| *label))
}
