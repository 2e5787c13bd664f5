//! Switches of expert maps against ranks that lose orders, carry them out late and are reborn, and
//! leaders that die, freeze and meet their successors.
//!
//! Each schedule is drawn from a seed. In every pass all ranks must use one map, by version and by
//! content, and once faults end, no group stays held.

mod ranks;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::map_orders::Config;
use hooktrestle_core::direct::map_orders::Next;
use hooktrestle_core::direct::map_orders::Order;
use hooktrestle_core::direct::map_orders::RankReport;
use hooktrestle_core::direct::map_orders::RankRequest;
use hooktrestle_core::direct::map_orders::Reply;
use hooktrestle_core::direct::map_orders::Start;
use hooktrestle_core::direct::map_orders::Switch;
use hooktrestle_core::direct::map_orders::Versions;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use ranks::Content;
use ranks::Group;

/// Ticks that a report is late by, at most.
const REPORT_LAG: usize = 3;

/// Ticks after which a late order is carried out, at most.
const MOST_LATE: u64 = 60;

/// How orders fare.
#[derive(Clone, Copy)]
struct Weather {
    lost: f64,
    unanswered: f64,
    late: f64,
    reborn: f64,
    leader_dies: f64,
    leader_freezes: f64,
    /// A switch is left where it is before a round: a rank is not listed for a moment.
    withdrawn: f64,
}

const CALM: Weather = Weather {
    lost: 0.0,
    unanswered: 0.0,
    late: 0.0,
    reborn: 0.0,
    leader_dies: 0.0,
    leader_freezes: 0.0,
    withdrawn: 0.0,
};

const STORM: Weather = Weather {
    lost: 0.1,
    unanswered: 0.1,
    late: 0.25,
    reborn: 0.004,
    leader_dies: 0.02,
    leader_freezes: 0.03,
    withdrawn: 0.02,
};

fn ask(
    group: &mut Group,
    weather: Weather,
    index: usize,
    (ask, content): (RankRequest, Content),
    rng: &mut ChaCha8Rng,
) -> Reply {
    let fenced = match ask {
        RankRequest::Report if rng.random_bool(weather.lost) => return Reply::NoAnswer,
        RankRequest::Report => {
            let lag = rng.random_range(0..=REPORT_LAG);
            return Reply::Report(group.report(index, lag));
        }
        RankRequest::Order(fenced) => fenced,
    };
    if rng.random_bool(weather.lost) {
        return Reply::NoAnswer;
    }
    if rng.random_bool(weather.late) {
        let at = group.now + rng.random_range(1..=MOST_LATE);
        group.late.push((at, index, fenced, content));
        return Reply::NoAnswer;
    }
    let reply = group.order(index, fenced, content);
    if rng.random_bool(weather.unanswered) { Reply::NoAnswer } else { reply }
}

/// A leader with a switch under way, part of whose round may be out.
struct Leader {
    switch: Switch,
    /// What the switch's map holds.
    content: Content,
    /// Asks of the present round that were not sent yet, and the replies so far.
    round: Vec<(usize, RankRequest)>,
    replies: Vec<(usize, RankRequest, Reply)>,
    wakes: u64,
    over: bool,
}

impl Leader {
    fn new(fence: u64, group: &mut Group) -> Leader {
        let ranks = group.ranks.len();
        Leader {
            switch: Switch::new(
                config(),
                Versions::of_fencing_token(fence),
                ranks,
                Start::Unknown,
                Millis::ZERO,
            ),
            content: group.plan(),
            round: Vec::new(),
            replies: Vec::new(),
            wakes: 0,
            over: false,
        }
    }

    /// One order or one question; true when a switch was completed.
    fn step(&mut self, group: &mut Group, weather: Weather, rng: &mut ChaCha8Rng) -> bool {
        if self.over || self.wakes > group.now {
            return false;
        }
        if rng.random_bool(weather.leader_freezes) {
            self.wakes = group.now + rng.random_range(1..40);
            return false;
        }
        if let Some((index, one)) = self.round.pop() {
            let reply = ask(group, weather, index, (one, self.content), rng);
            self.replies.push((index, one, reply));
            if self.round.is_empty() {
                let replies = std::mem::take(&mut self.replies);
                self.switch.apply_replies(&replies);
            }
            return false;
        }
        if rng.random_bool(weather.withdrawn) {
            self.switch.withdraw();
        }
        match self.switch.step() {
            Next::Round(asks) => self.round = asks,
            Next::Pause(_) => self.wakes = group.now + REPORT_LAG as u64 + 1,
            Next::Superseded => self.over = true,
            next => {
                let start = match self.switch.epoch() {
                    Some(epoch) if next == Next::Switched => Start::Settled { epoch },
                    _ => Start::Unknown,
                };
                self.begin(start, group);
                return next == Next::Switched;
            }
        }
        false
    }

    /// Plans and begins the next switch.
    fn begin(&mut self, start: Start, group: &mut Group) {
        let ranks = group.ranks.len();
        let versions = self.switch.versions();
        self.switch = Switch::new(config(), versions, ranks, start, Millis::ZERO);
        self.content = group.plan();
    }
}

fn config() -> Config {
    Config { passes_ahead: 4, ..Config::default() }
}

/// Plays one schedule; returns the switches that were completed.
fn play(seed: u64, ranks: usize, weather: Weather, group: &mut Group) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fence = 1;
    let mut leaders = vec![Leader::new(fence, group)];
    let mut switched = 0;
    for tick in 0..600 {
        let calm = tick >= 450;
        let weather = if calm { CALM } else { weather };
        if rng.random_bool(weather.reborn) {
            group.reborn();
        }
        group.busy = calm || rng.random_bool(0.9);
        let succeeded = rng.random_bool(weather.leader_dies) || tick == 450;
        if succeeded {
            fence += 1;
            if rng.random_bool(0.5) {
                // It died; otherwise it is only believed to be dead, and goes on.
                leaders.clear();
            }
            leaders.push(Leader::new(fence, group));
        }
        for leader in &mut leaders {
            for _ in 0..rng.random_range(1..=ranks + 1) {
                switched += u32::from(leader.step(group, weather, &mut rng));
            }
        }
        group.tick();
        assert_eq!(group.passes_with_two_maps, 0, "seed {seed}: two maps in a pass, tick {tick}");
    }
    switched
}

#[test]
fn a_calm_group_switches() {
    let mut group = Group::new(4);
    let switched = play(1, 4, CALM, &mut group);
    assert!(switched >= 10, "{switched} switches in 600 ticks");
    assert!(group.is_clean() || group.ranks[0].report.pass > 500);
}

#[test]
fn no_pass_has_two_maps_and_no_group_stays_held() {
    let mut total = 0;
    for seed in 0..4_000 {
        let ranks = 2 + (seed % 4) as usize;
        let mut group = Group::new(ranks);
        total += play(seed, ranks, STORM, &mut group);
        let before = group.history[group.history.len() - 100][0].pass;
        assert!(
            group.ranks[0].report.pass > before,
            "seed {seed}: the group stands still after the storm"
        );
    }
    assert!(total > 4_000, "{total} switches in 4,000 schedules: too few to show anything");
}

#[test]
fn the_schedules_find_a_group_that_does_not_check_fences() {
    let broken = (0..4_000).any(|seed| {
        let played = std::panic::catch_unwind(|| {
            let mut group = Group::new(3);
            group.checks_fences = false;
            play(seed, 3, STORM, &mut group)
        });
        played.is_err()
    });
    assert!(broken, "the schedules are too tame to tell whether fences matter");
}

#[test]
fn a_version_is_given_out_once_and_stays_below_those_of_the_next_leader() {
    let mut first = Versions::of_fencing_token(3);
    let mut taken: Vec<u64> = std::iter::from_fn(|| first.allocate_above(0)).collect();
    assert_eq!(first.allocate_above(0), None, "none is left");
    taken.dedup();
    let next = Versions::of_fencing_token(4).allocate_above(0).expect("a new leader has versions");
    assert!(taken.is_sorted() && taken.iter().all(|version| *version < next));
    assert_eq!(
        Versions::of_fencing_token(3).allocate_above(next),
        None,
        "the next leader's are not its own"
    );
}

#[test]
fn a_switch_that_holds_a_pass_is_not_left_when_a_rank_is_not_listed() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut group = Group::new(3);
    let mut leader = Leader::new(1, &mut group);
    let mut held = false;
    for _ in 0..200 {
        held |= group.ranks[0].report.held.is_some();
        if held {
            leader.switch.withdraw();
        }
        if leader.step(&mut group, CALM, &mut rng) {
            break;
        }
        group.tick();
    }
    assert!(held, "no pass was held");
    assert!(group.is_clean(), "the hold was left");
    assert_ne!(group.ranks[0].report.map, 0, "the map is in force");
}

/// Carries out a switch whose rank `silent`, if any, answers no report; stops where a pass is held.
fn reaches_a_hold(group: &mut Group, start: Start, silent: Option<usize>) -> bool {
    let config = Config { passes_ahead: 4, ..Config::for_fresh_reports() };
    let versions = Versions::of_fencing_token(group.now + 1);
    let mut switch = Switch::new(config, versions, group.ranks.len(), start, Millis::ZERO);
    let content = group.plan();
    for _ in 0..60 {
        match switch.step() {
            Next::Round(asks) => {
                let replies: Vec<(usize, RankRequest, Reply)> = asks
                    .into_iter()
                    .map(|(index, ask)| match ask {
                        RankRequest::Report if silent == Some(index) => {
                            (index, ask, Reply::NoAnswer)
                        }
                        RankRequest::Report => (index, ask, Reply::Report(group.report(index, 0))),
                        RankRequest::Order(fenced) => {
                            (index, ask, group.order(index, fenced, content))
                        }
                    })
                    .collect();
                switch.apply_replies(&replies);
            }
            Next::Pause(_) => group.tick(),
            _ => return false,
        }
        if group.ranks[0].report.held.is_some() {
            return true;
        }
    }
    false
}

#[test]
fn no_pass_is_held_while_a_rank_does_not_answer() {
    let settled = Start::Settled { epoch: 1 };
    for start in [Start::Unknown, settled] {
        assert!(reaches_a_hold(&mut Group::new(3), start, None));
        assert!(!reaches_a_hold(&mut Group::new(3), start, Some(2)), "{start:?}");
    }
}

/// How far ahead of the newest pass a switch is set, where one rank's first answer to an order was lost
/// and passes take so long.
fn lead_after_a_lost_answer(pass: Millis) -> u64 {
    let config = Config { pass_length: pass, ..Config::for_fresh_reports() };
    let mut group = Group::new(3);
    let mut switch =
        Switch::new(config, Versions::of_fencing_token(1), 3, Start::Unknown, Millis::ZERO);
    let content = group.plan();
    let mut lost = false;
    for _ in 0..60 {
        match switch.step() {
            Next::Round(asks) => {
                let mut replies = Vec::new();
                for (index, ask) in asks {
                    let reply = match ask {
                        RankRequest::Report => Reply::Report(group.report(index, 0)),
                        RankRequest::Order(fenced) => {
                            if let Order::Hold { pass } = fenced.order {
                                return pass - group.ranks[0].report.pass;
                            }
                            let reply = group.order(index, fenced, content);
                            if std::mem::replace(&mut lost, true) { reply } else { Reply::NoAnswer }
                        }
                    };
                    replies.push((index, ask, reply));
                }
                switch.apply_replies(&replies);
            }
            Next::Pause(_) => group.tick(),
            _ => break,
        }
    }
    panic!("no pass was held");
}

#[test]
fn a_lost_answer_sets_the_pass_a_time_ahead_not_a_number_of_passes() {
    let [short, long] = [30, 120].map(|pass_ms| lead_after_a_lost_answer(Millis(pass_ms)));
    let sure = Config::for_fresh_reports().passes_ahead;
    assert_eq!(short - sure, 9, "250 ms of passes of 30 ms");
    assert_eq!(long - sure, 3, "250 ms of passes of 120 ms");
}

#[test]
fn a_group_that_is_armed_is_not_surveyed_without_a_pause() {
    let group = Group::new(3);
    let armed = RankReport { armed: Some((7, 1_000)), ..group.report(0, 0) };
    let mut switch = Switch::new(
        Config::for_fresh_reports(),
        Versions::of_fencing_token(1),
        3,
        Start::Unknown,
        Millis::ZERO,
    );
    let Next::Round(asks) = switch.step() else { panic!("it surveys first") };
    let replies: Vec<(usize, RankRequest, Reply)> =
        asks.into_iter().map(|(index, ask)| (index, ask, Reply::Report(armed))).collect();
    switch.apply_replies(&replies);
    assert_eq!(switch.step(), Next::Pause(Config::for_fresh_reports().poll_interval));
}
