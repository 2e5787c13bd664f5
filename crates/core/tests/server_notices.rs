//! Guards against two failures: a gateway sends requests to a server that asked for a back-off or
//! announced that it is leaving, or refuses requests that another server would take. They come
//! about through wrong times in answers, late rows of the server list, stalled groups and new
//! incarnations. There are tests of single rules, and of a simulated fleet of gateways.

mod notice_fleet;

use std::net::SocketAddr;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::advertised_limit::Permission;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::permits::GatewayId;
use hooktrestle_core::direct::permits::Grant;
use hooktrestle_core::direct::permits::Permits;
use hooktrestle_core::direct::pool;
use hooktrestle_core::direct::pool::AttemptOutcome;
use hooktrestle_core::direct::pool::Demand;
use hooktrestle_core::direct::pool::ListedServer;
use hooktrestle_core::direct::pool::Pool;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::server_notices;
use hooktrestle_core::direct::server_notices::MAX_BACK_OFF;
use hooktrestle_core::util::arena::Key;
use notice_fleet::Fleet;
use notice_fleet::NoticesApplied;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of seeds of the simulation.
const SEEDS: u64 = 40;

fn listed(id: &str, port: u16, started: Option<u64>) -> ListedServer {
    ListedServer {
        id: id.to_owned(),
        service: "hints".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: String::new(),
        region: String::new(),
        slots: 8,
        leaving: false,
        cold_for: Millis::ZERO,
        started_unix_ms: started,
    }
}

/// Two servers, and their keys.
fn pair() -> (Pool, Key<Server>, Key<Server>) {
    let mut pool = Pool::new(pool::Config::default());
    pool.list(listed("a", 1, Some(5)), 1);
    pool.list(listed("b", 2, Some(5)), 1);
    let keys = pool.present_of("hints");
    (pool, keys[0], keys[1])
}

fn choose(pool: &mut Pool, now: u64) -> Option<Key<Server>> {
    pool.choose(&Demand::for_service("hints"), Millis(now), &mut ChaCha8Rng::seed_from_u64(now))
}

#[test]
fn back_off_times_are_parsed_and_bounded_and_invalid_ones_ignored() {
    let read = [
        ("3", Some(3_000)),
        (" 2.5 ", Some(2_500)),
        (".25", Some(250)),
        ("0.0001", Some(1)),
        ("1e1", Some(10_000)),
        ("600", Some(600_000)),
        ("601", Some(600_000)),
        ("1e300", Some(600_000)),
        ("1e400", Some(600_000)),
        ("0", None),
        ("-1", None),
        ("+1", None),
        ("", None),
        ("inf", None),
        ("NaN", None),
        ("soon", None),
        ("3 s", None),
        ("Wed, 21 Oct 2026 07:28:00 GMT", None),
    ];
    for (text, millis) in read {
        assert_eq!(server_notices::parse_back_off(text), millis.map(Millis), "`{text}`");
    }
}

proptest! {
    #[test]
    fn any_text_parses_to_a_bounded_back_off_or_none(text in "\\PC*") {
        let read = server_notices::parse_back_off(&text);
        prop_assert!(read.is_none_or(|back_off| back_off > Millis::ZERO && back_off <= MAX_BACK_OFF));
    }
}

#[test]
fn of_overlapping_back_offs_the_one_that_ends_last_applies() {
    let (mut pool, a, b) = pair();
    pool.back_off(a, Millis(3_000), Millis(100));
    pool.back_off(a, Millis(500), Millis(200));
    for now in [201, 3_099] {
        assert_eq!(choose(&mut pool, now), Some(b));
        assert!(!pool.accepts(a, Millis(now)));
    }
    assert!(pool.accepts(a, Millis(3_100)));
    assert_eq!(pool.all_unavailable_until("hints", Millis(201)), None, "one server takes requests");
    pool.back_off(b, Millis(9_000), Millis(200));
    assert_eq!(pool.all_unavailable_until("hints", Millis(201)), Some(Millis(3_100)));
    assert_eq!(choose(&mut pool, 201), None, "no server is a last resort");
}

#[test]
fn no_report_ends_a_back_off() {
    let (mut pool, a, b) = pair();
    pool.back_off(a, Millis(3_000), Millis(100));
    pool.set_stalled(a, true);
    pool.set_stalled(a, false);
    pool.set_slow("hints", &["b".to_owned()], Millis::ZERO, Millis(150));
    pool.ended(b, AttemptOutcome::Unreachable, Millis(150));
    pool.list(ListedServer { slots: 9, ..listed("a", 1, None) }, 7);
    assert_eq!(
        choose(&mut pool, 200),
        Some(b),
        "slow, unreachable, and the only one without a back-off"
    );
    pool.unlist("a");
    pool.list(listed("a", 1, Some(5)), 9);
    assert_eq!(choose(&mut pool, 300), Some(b), "its row was removed and added again");
}

#[test]
fn only_a_newer_incarnation_clears_back_off_and_leaving() {
    let (mut pool, a, b) = pair();
    pool.back_off(a, MAX_BACK_OFF, Millis(100));
    pool.back_off(b, MAX_BACK_OFF, Millis(100));
    pool.mark_leaving(b);
    pool.list(listed("a", 1, Some(6)), 2);
    pool.list(listed("b", 2, Some(4)), 3);
    let new = choose(&mut pool, 200).expect("its new incarnation takes requests");
    assert!(new != a && pool.server(new).listed.id == "a");
    pool.list(listed("b", 2, Some(6)), 4);
    assert!(pool.open().any(|server| server.id == "b"), "the new incarnation is not leaving");
}

#[test]
fn ramp_up_after_a_back_off_starts_at_one_request_and_doubles_with_each_answer() {
    let (mut pool, a, b) = pair();
    pool.back_off(a, Millis(1_000), Millis(0));
    let mut at_once = Vec::new();
    for answers in 0..5 {
        let mut chosen_times = 0;
        let mut chosen = Vec::new();
        for number in 0..40 {
            let key = choose(&mut pool, 2_000 + 1_000 * answers + number).expect("both are there");
            chosen_times += usize::from(key == a);
            chosen.push(key);
        }
        at_once.push(chosen_times);
        chosen.into_iter().for_each(|key| {
            pool.ended(key, AttemptOutcome::Answered, Millis(2_100 + 1_000 * answers))
        });
        pool.record_answer(a);
        assert!(answers < 4 || chosen_times >= 8, "it has its full share again");
    }
    assert_eq!(at_once[..3], [1, 2, 4]);
    // If no other server is left, too many requests are better than a refusal.
    pool.back_off(a, Millis(1_000), Millis(9_000));
    pool.back_off(b, MAX_BACK_OFF, Millis(9_000));
    assert!((0..4).all(|number| choose(&mut pool, 10_001 + number) == Some(a)));
}

/// Guards against a burst after a back-off: if each gateway by itself sends one request at first,
/// forty gateways send forty at once.
#[test]
fn ramp_up_after_a_back_off_is_bounded_across_all_gateways() {
    const GATEWAYS: usize = 40;
    let (pool, a, b) = pair();
    let mut pools = vec![pool; GATEWAYS];
    pools.iter_mut().for_each(|pool| pool.back_off(a, Millis(1_000), Millis(0)));
    let mut permits = Permits::new(GatewayId(0), IncarnationId(0), Millis(0));
    let mut sent = [0; 4];
    for now in 1_000..5_000 {
        (0..GATEWAYS as u64).for_each(|from| permits.add_share(GatewayId(from), Millis(now)));
        let pool = &mut pools[now as usize % GATEWAYS];
        let chosen = choose(pool, now).expect("both are there");
        let may_send = match pool.take_permit(chosen, Millis(now)) {
            Permission::Ask(wanted) => {
                let ramp_up_rate = pool.ramp_up_rate(a, Millis(now)).expect("it ramps up");
                let incarnation = pool.incarnation(chosen);
                let initial_level = 1.0;
                let gateways = Some(GATEWAYS);
                let granted = permits.grant(
                    incarnation,
                    ramp_up_rate,
                    wanted,
                    initial_level,
                    gateways,
                    Millis(now),
                );
                pool.record_grant(chosen, granted, Millis(now), Millis(now));
                granted.permits > 0 && pool.take_permit(chosen, Millis(now)) != Permission::None
            }
            may_send => may_send != Permission::None,
        };
        if may_send {
            sent[(now / 1_000 - 1) as usize] += usize::from(chosen == a);
            pool.ended(chosen, AttemptOutcome::Answered, Millis(now));
            if chosen == a {
                pool.record_answer(a);
            }
        } else {
            pool.undo_choice(chosen, 1.0);
        }
    }
    assert!(sent[0] <= 3 && sent[1] <= 12, "{sent:?}");
    assert!(sent[3] > 300, "it has its full share again: {sent:?}");
    // If no other server is left, too many requests are better than a refusal.
    let pool = &mut pools[0];
    pool.back_off(a, Millis(1_000), Millis(9_000));
    pool.back_off(b, MAX_BACK_OFF, Millis(9_000));
    assert_eq!(choose(pool, 10_001), Some(a));
    assert_eq!(pool.take_permit(a, Millis(10_001)), Permission::Ask(1));
    pool.record_grant(a, Grant::default(), Millis(10_001), Millis(10_002));
    assert_eq!(choose(pool, 10_003), Some(a));
    assert_eq!(pool.take_permit(a, Millis(10_003)), Permission::Free);
}

#[test]
fn a_fleet_respects_server_notices_and_refuses_nothing_else() {
    for seed in 0..SEEDS {
        let outcome = Fleet::new(seed, NoticesApplied::All).run_to_end();
        assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            outcome.back_offs > 20 && outcome.refused > 0 && outcome.leaving_notices > 0,
            "seed {seed}: {outcome:?}"
        );
    }
}

#[test]
fn the_simulation_detects_gateways_that_ignore_server_notices() {
    for applied in [NoticesApplied::NoBackOff, NoticesApplied::NoLeaving] {
        let found = (0..SEEDS)
            .filter(|seed| !Fleet::new(*seed, applied).run_to_end().violations.is_empty());
        assert_eq!(found.count() as u64, SEEDS, "{applied:?}");
    }
}
