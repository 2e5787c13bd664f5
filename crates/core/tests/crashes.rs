//! Guards against two failures: a request that crashes servers is not refused, or another request
//! is refused in its place. Both come about if reports of crashes are late, reach gateways in
//! different orders, or list requests that ran beside the cause or were sent after the crash. There
//! are tests of single rules, and of a fleet of gateways that receive reports late, among ordinary
//! crashes.

mod crash_fleet;
mod crash_reports;

use crash_fleet::Fleet;
use crash_fleet::Plan;
use crash_reports::report;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::Cleared;
use hooktrestle_core::direct::crashes::Config;
use hooktrestle_core::direct::crashes::Crash;
use hooktrestle_core::direct::crashes::CrashReportId;
use hooktrestle_core::direct::crashes::Crashes;
use hooktrestle_core::direct::crashes::EndingCount;
use hooktrestle_core::direct::crashes::Extent;
use hooktrestle_core::direct::crashes::MergeOutcome;
use hooktrestle_core::direct::crashes::Quarantine;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::crashes::Stage;
use hooktrestle_core::direct::crashes::Suspect;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::sample::Index;

const NOW: Millis = Millis(50_000);

/// Number of seeds for which the fleet is simulated.
const SEEDS: u64 = 40;
const SEEDS_WITH_BURSTS: u64 = 6;

fn crash(server: u64, suspects: &[(u64, u64)]) -> Crash {
    let suspects = suspects.iter().map(|(fingerprint, ran_ms)| Suspect {
        fingerprint: Fingerprint(*fingerprint),
        ran: Millis(*ran_ms),
        stage: Stage::Waiting,
    });
    report(server, suspects)
}

fn with_reports(reports: &[Crash]) -> Crashes {
    let mut crashes = Crashes::new(Config::default(), Reporter(1));
    for report in reports {
        crashes.record(report, NOW);
    }
    crashes
}

#[test]
fn the_third_crash_refuses_the_request() {
    let mut crashes = with_reports(&[crash(1, &[(7, 90)]), crash(2, &[(7, 90)])]);
    assert_eq!(crashes.refused_for(Fingerprint(7), NOW), None);
    // A repeated report is the same crash.
    assert_eq!(crashes.record(&crash(2, &[(7, 90)]), NOW), MergeOutcome::Unchanged);
    assert_eq!(crashes.refused_for(Fingerprint(7), NOW), None);
    assert_eq!(crashes.record(&crash(3, &[(7, 90)]), NOW), MergeOutcome::Urgent);
    assert_eq!(crashes.refused_for(Fingerprint(7), NOW), Some(Config::default().report_ttl));
}

#[test]
fn crashes_explained_by_one_request_do_not_count_against_others() {
    // Request 8 was at all three crashes too, but had run for long at the first.
    let reports = [
        crash(1, &[(7, 90), (8, 900), (9, 20)]),
        crash(2, &[(7, 80), (8, 30)]),
        crash(3, &[(7, 95), (8, 35), (9, 50)]),
    ];
    let mut crashes = with_reports(&reports);
    assert_eq!(crashes.refused(NOW), [Fingerprint(7)]);
    // The crashes explained by request 7 do not count against 9: it takes three others to refuse
    // it.
    crashes.record(&crash(4, &[(9, 10)]), NOW);
    crashes.record(&crash(5, &[(9, 10)]), NOW);
    assert_eq!(crashes.refused_for(Fingerprint(9), NOW), None);
    crashes.record(&crash(6, &[(9, 10)]), NOW);
    assert!(crashes.refused_for(Fingerprint(9), NOW).is_some());
    assert!(crashes.refused_for(Fingerprint(7), NOW).is_some(), "as before");
}

#[test]
fn a_completed_request_is_cleared_of_earlier_crashes() {
    let mut crashes = with_reports(&[crash(1, &[(7, 90)]), crash(2, &[(7, 90)])]);
    let later = NOW + Millis(10);
    let cleared = Cleared { fingerprint: Fingerprint(7), age: Millis::ZERO };
    assert_eq!(crashes.clear(cleared, later), MergeOutcome::Urgent);
    let old = Crash { age: Millis(500), ..crash(3, &[(7, 90)]) };
    assert_eq!(
        crashes.record(&old, later),
        MergeOutcome::Unchanged,
        "the crash was before the completion"
    );
    for server in 4..6 {
        crashes.record(&crash(server, &[(7, 90)]), later + Millis(10));
    }
    assert_eq!(crashes.refused(later + Millis(10)), [], "only two crashes since");
}

#[test]
fn a_refusal_expires_with_its_reports() {
    let config = Config::default();
    let mut crashes = with_reports(&[crash(1, &[(7, 90)]), crash(2, &[(7, 90)])]);
    let later = NOW + Millis(60_000);
    crashes.record(&crash(3, &[(7, 90)]), later);
    let end = NOW + config.report_ttl;
    assert_eq!(crashes.refused_for(Fingerprint(7), later), Some(end.since(later)));
    assert_eq!(crashes.refused_for(Fingerprint(7), end), None);
    crashes.remove_expired(end);
    assert_eq!(crashes.report_digests(end).len(), 1, "only the last report counts still");
    // A report that arrives too late does not count.
    let old = Crash { age: config.report_ttl, ..crash(9, &[(7, 90)]) };
    assert_eq!(crashes.record(&old, end), MergeOutcome::Unchanged);
}

#[test]
fn crash_memory_is_bounded_and_keeps_the_newest_reports() {
    let config = Config::default();
    let mut crashes = Crashes::new(config, Reporter(1));
    for server in 0..1_000_u64 {
        let suspects: Vec<(u64, u64)> = (0..100).map(|number| (server * 100 + number, 5)).collect();
        crashes.record(&crash(server, &suspects), NOW + Millis(server));
    }
    let end = NOW + Millis(1_000);
    assert_eq!(crashes.report_digests(end).len(), config.max_crashes);
    let ids: Vec<CrashReportId> = crashes.report_digests(end).iter().map(|(id, _)| *id).collect();
    assert!(ids.iter().all(|(server, _)| server.0 >= 1_000 - config.max_crashes as u64));
    let stored = crashes.reports_by_id(&ids, end);
    assert!(stored.iter().all(|one| one.suspects.len() <= config.max_suspects));
    for number in 0..1_000 {
        crashes.clear(Cleared { fingerprint: Fingerprint(number), age: Millis::ZERO }, end);
    }
    assert!(crashes.cleared(end).len() <= config.max_crashes);
}

#[test]
fn fingerprints_differ_by_path_account_and_body() {
    let one = Fingerprint::of("/a/b", Some("paper"), b"body");
    assert_eq!(one, Fingerprint::of("/a/b", Some("paper"), b"body"));
    for (path, account, body) in [
        ("/a/c", Some("paper"), "body"),
        ("/a/b?c", Some("paper"), "body"),
        ("/a/b", Some("pape"), "rbody"),
        ("/a/bpaper", None, "body"),
        ("/a/b", None, "body"),
        ("/a/b", Some("paper"), ""),
    ] {
        assert_ne!(
            one,
            Fingerprint::of(path, account, body.as_bytes()),
            "{path} {account:?} {body}"
        );
    }
}

proptest! {
    /// Gateways that received the same reports in any order refuse the same requests, and have no
    /// reports to exchange.
    #[test]
    fn crash_reports_have_the_same_effect_in_any_order(
        reports in vec((0..6_u64, vec((0..5_u64, 0..100_u64), 1..4)), 0..20),
        rotation in any::<Index>(),
    ) {
        let reports: Vec<Crash> =
            reports.iter().map(|(server, suspects)| crash(*server, suspects)).collect();
        let one = with_reports(&reports);
        let mut rotated = reports.clone();
        rotated.rotate_left(if reports.is_empty() { 0 } else { rotation.index(reports.len()) });
        let other = with_reports(&rotated);
        assert_eq!(one.digest(NOW), other.digest(NOW));
        let sorted = |crashes: &Crashes| {
            let mut refused = crashes.refused(NOW);
            refused.sort();
            refused
        };
        assert_eq!(sorted(&one), sorted(&other));
        assert_eq!(one.compare(&other.report_digests(NOW), NOW), (Vec::new(), Vec::new()));
    }
}

#[test]
fn a_fleet_with_delayed_reports_refuses_only_requests_that_crash_servers() {
    for seed in 0..SEEDS {
        let outcome = Fleet::new(Plan::from_seed(seed)).run_to_end();
        for (culprit, sent) in outcome.sent_late {
            assert!(sent <= 3, "seed {seed}: {culprit:?} was sent {sent} times more");
        }
        assert_eq!(outcome.innocents_refused, 0, "seed {seed}: of {}", outcome.innocents);
        assert_eq!(outcome.held_without_reason, 0, "seed {seed}: of {}", outcome.innocents);
        assert!(outcome.culprits_refused > 0, "seed {seed}");
        assert!(outcome.max_known <= Config::default().max_crashes, "seed {seed}");
    }
}

/// Guards against refusing a request that callers always abandon, in a fleet whose servers crash in
/// bursts. It never completes, and is at several crashes of each burst.
#[test]
fn a_fleet_with_bursts_of_crashes_refuses_only_requests_that_crash_servers() {
    let (mut refused, mut sent, mut culprits_crashed) = (0, 0, 0);
    for seed in 0..SEEDS_WITH_BURSTS {
        let outcome = Fleet::new(Plan::with_bursts(seed)).run_to_end();
        refused += outcome.innocents_refused;
        sent += outcome.innocents;
        culprits_crashed += outcome.crashes_by_culprits;
    }
    println!("{refused} of {sent} refused, {culprits_crashed} crashes by culprits");
    assert_eq!(refused, 0, "of {sent}");
}

#[test]
fn a_completion_between_a_crash_and_its_report_clears_the_request() {
    let mut crashes = Crashes::new(Config::default(), Reporter(1));
    crashes.record_completed(Fingerprint(7), NOW);
    let received_at = NOW + Millis(900);
    for server in 1..4 {
        let late_crash = Crash { age: Millis(1_000), ..crash(server, &[(7, 90), (8, 90)]) };
        crashes.record(&late_crash, received_at);
    }
    assert_eq!(crashes.refused(received_at), [Fingerprint(8)]);
    let cleared: Vec<Fingerprint> =
        crashes.cleared(received_at).iter().map(|one| one.fingerprint).collect();
    assert_eq!(cleared, [Fingerprint(7)], "other gateways receive it");
    // A completion before the crash clears nothing.
    let mut crashes = Crashes::new(Config::default(), Reporter(1));
    crashes.record_completed(Fingerprint(7), NOW);
    for server in 1..4 {
        crashes.record(&crash(server, &[(7, 90)]), NOW + Millis(10));
    }
    assert_eq!(crashes.refused(NOW + Millis(10)), [Fingerprint(7)]);
}

/// Guards against refusing a request that was sent to servers only after they had crashed. Three
/// servers crash within a second and accept connections until the server list drops them. A gateway
/// that had no request there sends the same request to all three, and takes it as the cause.
#[test]
fn requests_sent_after_a_truncation_at_another_gateway_are_not_refused() {
    let mut crashes = Crashes::new(Config::default(), Reporter(1));
    for server in 1..4 {
        let observed = Crash { age: Millis(2_000), ..crash(server, &[(7, 90)]) };
        let late_report = Crash {
            reporter: Reporter(2),
            age: Millis(1_400),
            ..crash(server, &[(8, 20), (9, 800)])
        };
        crashes.record(&late_report, NOW);
        crashes.record(&observed, NOW);
    }
    assert_eq!(crashes.refused(NOW), [Fingerprint(7)]);
    // If the answer of a request had begun, the server was up until then: an answer that was
    // truncated before had another cause.
    let mut crashes = Crashes::new(Config::default(), Reporter(1));
    for server in 1..4 {
        let truncated = Crash { age: Millis(4_000), ..crash(server, &[(100 + server, 90)]) };
        crashes.record(&truncated, NOW);
        let mut observed = Crash { reporter: Reporter(2), ..crash(server, &[(7, 80)]) };
        observed.suspects[0].stage = Stage::Running;
        crashes.record(&observed, NOW);
    }
    assert_eq!(crashes.refused(NOW), [Fingerprint(7)]);
    // Without a report of another gateway, the request counts.
    let mut crashes = Crashes::new(Config::default(), Reporter(1));
    for server in 1..4 {
        crashes.record(&Crash { reporter: Reporter(2), ..crash(server, &[(8, 20)]) }, NOW);
    }
    assert_eq!(crashes.refused(NOW), [Fingerprint(8)]);
}

/// Guards against refusing an ordinary request that happened to be sent some milliseconds after
/// three crashes, each of which another gateway had seen first. Ages are as exact as the messages
/// that brought them: 5 ms in transit do not excuse 13 ms.
#[test]
fn requests_sent_milliseconds_after_a_crash_are_not_refused_if_ages_are_exact() {
    let reports = |age_error: Millis| {
        (1..4).flat_map(move |server| {
            let seen_first =
                Crash { age: Millis(500), age_error, ..crash(server, &[(100 + server, 90)]) };
            let sent_late =
                Crash { reporter: Reporter(2), age: Millis(486), ..crash(server, &[(8, 1)]) };
            [seen_first, sent_late]
        })
    };
    let exact: Vec<Crash> = reports(Millis(5)).collect();
    assert_eq!(with_reports(&exact).refused(NOW), []);
    // With ages that may be wrong by more, the request may have been there.
    let vague: Vec<Crash> = reports(Millis(40)).collect();
    assert_eq!(with_reports(&vague).refused(NOW), [Fingerprint(8)]);
}

/// Report of a crash at which a request was in [`Stage::Starting`].
fn at_start(server: u64, fingerprint: u64) -> Crash {
    let mut observed = crash(server, &[(fingerprint, 60)]);
    observed.suspects[0].stage = Stage::Starting;
    observed
}

#[test]
fn a_request_starting_at_a_crash_is_held_back_for_a_time_varied_by_gateway() {
    let Config { hold_back, hold_back_spread, .. } = Config::default();
    let mut ends = Vec::new();
    for own in 1..20 {
        let mut crashes = Crashes::new(Config::default(), Reporter(own));
        assert_eq!(
            crashes.record(&at_start(1, 7), NOW),
            MergeOutcome::Urgent,
            "all gateways need it"
        );
        let Quarantine::HeldBack(left) = crashes.quarantine(Fingerprint(7), NOW) else {
            panic!("{own}")
        };
        assert!(left >= hold_back && left < hold_back + hold_back_spread, "{left}");
        assert_eq!(
            crashes.quarantine(Fingerprint(8), NOW),
            Quarantine::Free,
            "other requests are not"
        );
        assert_eq!(crashes.refused_for(Fingerprint(7), NOW), None);
        assert_eq!(crashes.quarantine(Fingerprint(7), NOW + left), Quarantine::OneAtATime);
        ends.push(left);
    }
    ends.sort();
    let first_two = ends[1] - ends[0];
    assert!(
        first_two > Millis::ZERO && ends[18] - ends[0] > Millis(2_000),
        "not all at the same time"
    );
}

#[test]
fn a_held_back_request_is_freed_by_a_later_stage_or_a_completion() {
    let mut crashes = Crashes::new(Config::default(), Reporter(1));
    // A request that had got further did no harm until then, even if it also just began there.
    crashes.record(&at_start(2, 9), NOW);
    assert!(matches!(crashes.quarantine(Fingerprint(9), NOW), Quarantine::HeldBack(_)));
    let mut further = at_start(2, 9);
    further.reporter = Reporter(2);
    further.suspects[0].stage = Stage::Running;
    crashes.record(&further, NOW);
    assert_eq!(crashes.quarantine(Fingerprint(9), NOW), Quarantine::Free);
    crashes.record(&at_start(1, 7), NOW);
    let cleared = Cleared { fingerprint: Fingerprint(7), age: Millis::ZERO };
    assert_eq!(crashes.clear(cleared, NOW + Millis(5)), MergeOutcome::Urgent);
    assert_eq!(crashes.quarantine(Fingerprint(7), NOW + Millis(5)), Quarantine::Free);
}

#[test]
fn the_second_crash_in_stage_starting_refuses_the_request() {
    let mut crashes = with_reports(&[at_start(1, 7), crash(2, &[(7, 90)])]);
    assert_eq!(
        crashes.refused_for(Fingerprint(7), NOW),
        None,
        "one crash in stage `Starting`, one in `Waiting`"
    );
    let later = NOW + Millis(9_000);
    let mut third = at_start(3, 7);
    third.suspects.extend(crash(3, &[(8, 40)]).suspects);
    third.suspects[1].stage = Stage::Starting;
    crashes.record(&third, later);
    assert_eq!(crashes.refused(later), [Fingerprint(7)]);
    assert_eq!(
        crashes.quarantine(Fingerprint(8), later),
        Quarantine::Free,
        "explained by the other request"
    );
    let left = crashes.refused_for(Fingerprint(7), later).unwrap();
    assert!(left >= Config::default().report_ttl - Millis(9_000));
    assert_eq!(crashes.refused_for(Fingerprint(7), later + left), None);
}

/// Reports of three crashes with the same request, which ran for these times.
fn crashes_with_runs(fingerprint: u64, runs_ms: [u64; 3]) -> Vec<Crash> {
    let numbered = runs_ms.into_iter().enumerate();
    numbered.map(|(number, ran_ms)| crash(number as u64 + 1, &[(fingerprint, ran_ms)])).collect()
}

/// Guards against a refusal for ten minutes of a request that is sent all the time, completes
/// mostly, and was at three crashes by chance between two completions.
#[test]
fn a_request_that_mostly_completes_is_refused_only_after_further_crashes() {
    let mut crashes = Crashes::new(Config::default(), Reporter(1));
    for number in 0..8 {
        crashes.record_completed(Fingerprint(7), NOW - Millis(1_000 * (number + 1)));
    }
    for report in crashes_with_runs(7, [90, 80, 95]) {
        crashes.record(&report, NOW);
    }
    assert_eq!(crashes.refused(NOW), []);
    assert_eq!(crashes.quarantine(Fingerprint(7), NOW), Quarantine::OneAtATime);
    // Its next completion clears it.
    let mut cleared = crashes.clone();
    assert_eq!(cleared.record_completed(Fingerprint(7), NOW + Millis(50)), MergeOutcome::Urgent);
    assert_eq!(cleared.quarantine(Fingerprint(7), NOW + Millis(50)), Quarantine::Free);
    // Otherwise two more crashes refuse it.
    crashes.record(&crash(4, &[(7, 90)]), NOW);
    assert_eq!(crashes.refused(NOW), []);
    crashes.record(&crash(5, &[(7, 90)]), NOW);
    assert_eq!(crashes.refused(NOW), [Fingerprint(7)]);
    // Fewer completions than crashes do not keep a request from being refused.
    let mut crashes = Crashes::new(Config::default(), Reporter(1));
    for number in 0..2 {
        crashes.record_completed(Fingerprint(7), NOW - Millis(1_000 * (number + 1)));
    }
    for report in crashes_with_runs(7, [90, 80, 95]) {
        crashes.record(&report, NOW);
    }
    assert_eq!(crashes.refused(NOW), [Fingerprint(7)]);
}

/// Guards against gateways that differ in what they refuse: attempts that ended well at one of them
/// count at all, and after a restart of all.
#[test]
fn gateways_exchange_how_many_attempts_ended_well() {
    let [mut one, mut other] = [1, 2].map(|own| Crashes::new(Config::default(), Reporter(own)));
    for number in 0..2 {
        one.record_completed(Fingerprint(7), NOW - Millis(1_000 * (number + 1)));
        other.record_completed(Fingerprint(7), NOW - Millis(1_000 * (number + 1)));
    }
    for report in crashes_with_runs(7, [90, 80, 95]) {
        one.record(&report, NOW);
        other.record(&report, NOW);
    }
    assert_eq!(one.refused(NOW), [Fingerprint(7)], "two of five attempts ended well");
    assert_ne!(one.digest(NOW), other.digest(NOW));
    for count in other.ending_counts(NOW) {
        one.merge_ending_count(count, NOW);
    }
    for count in one.ending_counts(NOW) {
        other.merge_ending_count(count, NOW);
    }
    assert_eq!(one.digest(NOW), other.digest(NOW));
    for crashes in [&one, &other] {
        assert_eq!(crashes.refused(NOW), []);
        assert_eq!(crashes.quarantine(Fingerprint(7), NOW), Quarantine::OneAtATime);
    }
    let stored = EndingCount {
        fingerprint: Fingerprint(7),
        reporter: Reporter::STORED,
        count: one.endings_of(Fingerprint(7), NOW),
        age: Millis::ZERO,
    };
    let mut restarted = Crashes::new(Config::default(), Reporter(3));
    restarted.merge_ending_count(stored, NOW);
    for report in one.crashes_of(Fingerprint(7), NOW) {
        restarted.record(&report, NOW);
    }
    assert_eq!(restarted.refused(NOW), []);
    one.merge_ending_count(stored, NOW);
    assert_eq!(one.endings_of(Fingerprint(7), NOW), 4, "the stored sum is not added to its parts");
    // The counts of many gateways are bounded, and the same in any order.
    let counts = |number: u64| EndingCount { reporter: Reporter(10 + number), count: 5, ..stored };
    (0..300).for_each(|number| {
        one.merge_ending_count(counts(number), NOW);
    });
    (0..300).rev().for_each(|number| {
        other.merge_ending_count(counts(number), NOW);
    });
    assert_eq!(one.ending_counts(NOW).len(), 4);
    assert_eq!(one.digest(NOW), other.digest(NOW));
}

/// Guards against refusing a request that its callers always abandon: it never completes, so
/// nothing cleared it, and it is at three crashes sooner or later.
#[test]
fn an_abandoned_attempt_at_a_server_that_lives_on_clears_the_request() {
    let with_crashes = || with_reports(&crashes_with_runs(7, [10, 40, 20])[..2]);
    let later = NOW + Millis(100);
    let ended = |ran_ms| Extent::Ended(Stage::Waiting, Millis(ran_ms));
    // One that lasted longer than at all crashes.
    let mut crashes = with_crashes();
    crashes.record_survived(Fingerprint(7), ended(45), later, later);
    assert!(!crashes.is_suspect(Fingerprint(7)));
    // Three that lasted longer than at one of them.
    let mut crashes = with_crashes();
    for number in 0..3 {
        assert!(crashes.is_suspect(Fingerprint(7)), "{number} are too few");
        crashes.record_survived(Fingerprint(7), ended(15), later, later);
    }
    assert!(!crashes.is_suspect(Fingerprint(7)));
    // Shorter ones show nothing, however many there are, nor do those before the crashes.
    let mut crashes = with_crashes();
    for _ in 0..20 {
        crashes.record_survived(Fingerprint(7), ended(9), later, later);
        crashes.record_survived(Fingerprint(7), ended(45), NOW - Millis(10), later);
    }
    assert!(crashes.is_suspect(Fingerprint(7)));
    // One that waited does not clear a request under which servers crashed as they began it.
    let mut crashes = with_reports(&[at_start(1, 7)]);
    crashes.record_survived(Fingerprint(7), ended(5_000), later, later);
    assert!(crashes.is_suspect(Fingerprint(7)));
}

/// Guards against refusing a request that got to different points of its run at three crashes: what
/// it does later cannot have crashed the server that crashed first.
#[test]
fn crashes_at_different_points_of_the_run_hold_a_request_back_first() {
    let mut crashes = with_reports(&crashes_with_runs(7, [190, 50, 5]));
    assert_eq!(crashes.refused(NOW), []);
    let Quarantine::HeldBack(left) = crashes.quarantine(Fingerprint(7), NOW) else { panic!() };
    assert_eq!(crashes.quarantine(Fingerprint(7), NOW + left), Quarantine::OneAtATime);
    let third_alike = NOW + left;
    crashes.record(&crash(4, &[(7, 55)]), third_alike);
    assert_eq!(crashes.refused(third_alike), []);
    crashes.record(&crash(5, &[(7, 60)]), third_alike);
    assert_eq!(crashes.refused(third_alike), [Fingerprint(7)]);
}

/// Guards against refusing a request that was sent to servers which had already crashed, behind an
/// address that still accepts connections.
#[test]
fn crashes_behind_addresses_that_accept_connections_hold_a_request_back_first() {
    let mut crashes = Crashes::new(Config::default(), Reporter(1));
    for mut report in crashes_with_runs(7, [2, 2, 2]) {
        report.suspects[0].stage = Stage::Doubtful;
        crashes.record(&report, NOW);
    }
    assert_eq!(crashes.refused(NOW), []);
    assert!(matches!(crashes.quarantine(Fingerprint(7), NOW), Quarantine::HeldBack(_)));
    // Two trials are left.
    crashes.record(&crash(4, &[(7, 2)]), NOW);
    assert_eq!(crashes.refused(NOW), []);
    crashes.record(&crash(5, &[(7, 2)]), NOW);
    assert_eq!(crashes.refused(NOW), [Fingerprint(7)]);
}
