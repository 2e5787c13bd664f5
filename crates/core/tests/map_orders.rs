//! Tests of expert map switches with ranks that lose orders, carry them out late and restart, and
//! with leaders that crash, freeze, and run at the same time as their successors.
//!
//! They guard against a pass in which two ranks use different maps, by version or by content, and
//! against a group that stays held after the faults have ended. Each schedule of faults is drawn
//! from a seed.

mod ranks;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::expert_layout;
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

/// Maximum age of a report, in ticks.
const MAX_REPORT_LAG_TICKS: usize = 3;

/// Maximum delay of an order that is carried out late, in ticks.
const MAX_DELAY_TICKS: u64 = 60;

/// Probabilities of faults.
#[derive(Clone, Copy)]
struct Faults {
    lost: f64,
    unanswered: f64,
    late: f64,
    restart: f64,
    leader_crash: f64,
    leader_freeze: f64,
    /// A rank is not listed for a moment, so that the leader withdraws its switch before a round.
    withdrawn: f64,
}

const NO_FAULTS: Faults = Faults {
    lost: 0.0,
    unanswered: 0.0,
    late: 0.0,
    restart: 0.0,
    leader_crash: 0.0,
    leader_freeze: 0.0,
    withdrawn: 0.0,
};

const HEAVY_FAULTS: Faults = Faults {
    lost: 0.1,
    unanswered: 0.1,
    late: 0.25,
    restart: 0.004,
    leader_crash: 0.02,
    leader_freeze: 0.03,
    withdrawn: 0.02,
};

fn send(
    group: &mut Group,
    faults: Faults,
    index: usize,
    (request, content): (RankRequest, Content),
    rng: &mut ChaCha8Rng,
) -> Reply {
    let fenced = match request {
        RankRequest::Report if rng.random_bool(faults.lost) => return Reply::NoAnswer,
        RankRequest::Report => {
            let lag = rng.random_range(0..=MAX_REPORT_LAG_TICKS);
            return Reply::Report(group.report(index, lag));
        }
        RankRequest::Order(fenced) => fenced,
    };
    if rng.random_bool(faults.lost) {
        return Reply::NoAnswer;
    }
    if rng.random_bool(faults.late) {
        let at = group.now + rng.random_range(1..=MAX_DELAY_TICKS);
        group.late_orders.push((at, index, fenced, content));
        return Reply::NoAnswer;
    }
    let reply = group.order(index, fenced, content);
    if rng.random_bool(faults.unanswered) { Reply::NoAnswer } else { reply }
}

/// A leader with a switch under way, in the middle of a round or between rounds.
struct Leader {
    switch: Switch,
    /// Content of the switch's map.
    content: Content,
    /// Requests of the current round that are not sent yet, and the replies so far.
    round: Vec<(usize, RankRequest)>,
    replies: Vec<(usize, RankRequest, Reply)>,
    wakes_at: u64,
    over: bool,
}

impl Leader {
    fn new(fencing_token: u64, group: &mut Group) -> Leader {
        let ranks = group.ranks.len();
        Leader {
            switch: Switch::new(
                config(),
                Versions::of_fencing_token(fencing_token),
                ranks,
                Start::Unknown,
                Millis::ZERO,
            ),
            content: group.plan(),
            round: Vec::new(),
            replies: Vec::new(),
            wakes_at: 0,
            over: false,
        }
    }

    /// Sends one request, or takes one step of the switch; true when a switch was completed.
    fn step(&mut self, group: &mut Group, faults: Faults, rng: &mut ChaCha8Rng) -> bool {
        if self.over || self.wakes_at > group.now {
            return false;
        }
        if rng.random_bool(faults.leader_freeze) {
            self.wakes_at = group.now + rng.random_range(1..40);
            return false;
        }
        if let Some((index, unsent)) = self.round.pop() {
            let reply = send(group, faults, index, (unsent, self.content), rng);
            self.replies.push((index, unsent, reply));
            if self.round.is_empty() {
                let replies = std::mem::take(&mut self.replies);
                self.switch.apply_replies(&replies);
            }
            return false;
        }
        if rng.random_bool(faults.withdrawn) {
            self.switch.withdraw();
        }
        match self.switch.step() {
            Next::Round(requests) => self.round = requests,
            Next::Pause(_) => self.wakes_at = group.now + MAX_REPORT_LAG_TICKS as u64 + 1,
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

/// Runs one schedule of faults; returns the number of completed switches.
fn run_schedule(seed: u64, ranks: usize, faults: Faults, group: &mut Group) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fencing_token = 1;
    let mut leaders = vec![Leader::new(fencing_token, group)];
    let mut switched = 0;
    for tick in 0..600 {
        let calm = tick >= 450;
        let faults = if calm { NO_FAULTS } else { faults };
        if rng.random_bool(faults.restart) {
            group.restart();
        }
        group.busy = calm || rng.random_bool(0.9);
        let leader_changes = rng.random_bool(faults.leader_crash) || tick == 450;
        if leader_changes {
            fencing_token += 1;
            if rng.random_bool(0.5) {
                // The old leader has crashed; otherwise it is only suspected, and continues.
                leaders.clear();
            }
            leaders.push(Leader::new(fencing_token, group));
        }
        for leader in &mut leaders {
            for _ in 0..rng.random_range(1..=ranks + 1) {
                switched += u32::from(leader.step(group, faults, &mut rng));
            }
        }
        group.tick();
        assert_eq!(group.passes_with_two_maps, 0, "seed {seed}: two maps in a pass, tick {tick}");
    }
    switched
}

#[test]
fn a_group_without_faults_switches_maps() {
    let mut group = Group::new(4);
    let switched = run_schedule(1, 4, NO_FAULTS, &mut group);
    assert!(switched >= 10, "{switched} switches in 600 ticks");
    assert!(group.holds_no_pass() || group.ranks[0].report.pass > 500);
}

/// Runs schedules of faults with groups of two to five ranks, prepared by `prepare`.
fn assert_no_pass_has_two_maps(prepare: impl Fn(&mut Group)) {
    let mut total = 0;
    for seed in 0..4_000 {
        let ranks = 2 + (seed % 4) as usize;
        let mut group = Group::new(ranks);
        prepare(&mut group);
        total += run_schedule(seed, ranks, HEAVY_FAULTS, &mut group);
        let before = group.history[group.history.len() - 100][0].pass;
        assert!(
            group.ranks[0].report.pass > before,
            "seed {seed}: the group is stalled after the faults have ended"
        );
    }
    assert!(total > 4_000, "{total} switches in 4,000 schedules: too few for a meaningful test");
}

#[test]
fn no_pass_has_two_maps_and_no_group_stays_held() {
    assert_no_pass_has_two_maps(|_| {});
}

/// Guards against a leader that wakes beside a later one, and disarms what that one has armed.
#[test]
fn no_pass_has_two_maps_in_a_group_that_ignores_fencing_tokens() {
    assert_no_pass_has_two_maps(|group| group.checks_fencing_tokens = false);
}

#[test]
fn the_schedules_detect_a_group_that_does_not_keep_holds() {
    let broken = (0..4_000).any(|seed| {
        let outcome = std::panic::catch_unwind(|| {
            let mut group = Group::new(3);
            group.keeps_holds = false;
            run_schedule(seed, 3, HEAVY_FAULTS, &mut group)
        });
        outcome.is_err()
    });
    assert!(broken, "no schedule detects a group that does not keep holds");
}

#[test]
fn a_version_is_allocated_once_and_is_below_those_of_the_next_leader() {
    let mut first = Versions::of_fencing_token(3);
    let mut allocated: Vec<u64> = std::iter::from_fn(|| first.allocate_above(0)).collect();
    assert_eq!(first.allocate_above(0), None, "no version is left");
    allocated.dedup();
    let next = Versions::of_fencing_token(4).allocate_above(0).expect("a new leader has versions");
    assert!(allocated.is_sorted() && allocated.iter().all(|version| *version < next));
    assert_eq!(
        Versions::of_fencing_token(3).allocate_above(next),
        None,
        "a version of the next leader is not allocated"
    );
}

#[test]
fn a_withdrawn_switch_releases_the_pass_that_it_holds() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut group = Group::new(3);
    let mut leader = Leader::new(1, &mut group);
    let mut held = false;
    for _ in 0..200 {
        held |= group.ranks[0].report.held.is_some();
        if held {
            leader.switch.withdraw();
        }
        if leader.step(&mut group, NO_FAULTS, &mut rng) {
            break;
        }
        group.tick();
    }
    assert!(held, "no pass was held");
    assert!(group.holds_no_pass(), "the hold was not released");
    assert_ne!(group.ranks[0].report.map, 0, "the map is in force");
}

/// Runs a switch in which the rank `silent`, if any, does not answer report requests. Returns
/// whether a pass is held, and stops at that point.
fn reaches_a_hold(group: &mut Group, start: Start, silent: Option<usize>) -> bool {
    let config = Config { passes_ahead: 4, ..Config::for_fresh_reports() };
    let versions = Versions::of_fencing_token(group.now + 1);
    let mut switch = Switch::new(config, versions, group.ranks.len(), start, Millis::ZERO);
    let content = group.plan();
    for _ in 0..60 {
        match switch.step() {
            Next::Round(requests) => {
                let replies: Vec<(usize, RankRequest, Reply)> = requests
                    .into_iter()
                    .map(|(index, request)| match request {
                        RankRequest::Report if silent == Some(index) => {
                            (index, request, Reply::NoAnswer)
                        }
                        RankRequest::Report => {
                            (index, request, Reply::Report(group.report(index, 0)))
                        }
                        RankRequest::Order(fenced) => {
                            (index, request, group.order(index, fenced, content))
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

/// How many passes ahead of the newest one a switch is set, with passes of `pass` each, where the
/// first answer to an order is lost.
fn lead_after_a_lost_answer(pass: Millis) -> u64 {
    lead(Config { pass_length: pass, ..Config::for_fresh_reports() }, true)
}

/// How many passes ahead of the newest one a switch is set, if the first answer to an order is lost
/// or not.
fn lead(config: Config, loses_answer: bool) -> u64 {
    let mut group = Group::new(3);
    let mut switch =
        Switch::new(config, Versions::of_fencing_token(1), 3, Start::Unknown, Millis::ZERO);
    let content = group.plan();
    let mut lost = !loses_answer;
    for _ in 0..60 {
        match switch.step() {
            Next::Round(requests) => {
                let mut replies = Vec::new();
                for (index, request) in requests {
                    let reply = match request {
                        RankRequest::Report => Reply::Report(group.report(index, 0)),
                        RankRequest::Order(fenced) => {
                            if let Order::Hold { pass } = fenced.order {
                                return pass - group.ranks[0].report.pass;
                            }
                            let reply = group.order(index, fenced, content);
                            if std::mem::replace(&mut lost, true) { reply } else { Reply::NoAnswer }
                        }
                    };
                    replies.push((index, request, reply));
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
fn after_a_lost_reply_the_switch_pass_is_set_by_time_not_by_number_of_passes() {
    let [short, long] = [30, 120].map(|pass_ms| lead_after_a_lost_answer(Millis(pass_ms)));
    let sure = Config::for_fresh_reports().passes_ahead;
    assert_eq!(short - sure, 9, "250 ms of passes of 30 ms");
    assert_eq!(long - sure, 3, "250 ms of passes of 120 ms");
}

/// With a rank twelve times as slow, a pass takes 300 ms or more, and the group makes two of them
/// with its old map although the new one is ready.
#[test]
fn a_switch_comes_into_force_with_the_next_pass_if_passes_are_long() {
    let usual = Config::for_fresh_reports().passes_ahead;
    let of_skew = |skew| {
        let length = expert_layout::expected_pass(Millis(63), skew);
        lead(Config::for_fresh_reports().with_pass_length(length), false)
    };
    assert_eq!([1.0, 1.5, 12.0].map(of_skew), [usual, usual, 1]);
}

#[test]
fn the_switch_pauses_before_it_polls_an_armed_group_again() {
    let group = Group::new(3);
    let armed = RankReport { armed: Some((7, 1_000)), ..group.report(0, 0) };
    let mut switch = Switch::new(
        Config::for_fresh_reports(),
        Versions::of_fencing_token(1),
        3,
        Start::Unknown,
        Millis::ZERO,
    );
    let Next::Round(requests) = switch.step() else { panic!("the first step is not a survey") };
    let replies: Vec<(usize, RankRequest, Reply)> = requests
        .into_iter()
        .map(|(index, request)| (index, request, Reply::Report(armed)))
        .collect();
    switch.apply_replies(&replies);
    assert_eq!(switch.step(), Next::Pause(Config::for_fresh_reports().poll_interval));
}
