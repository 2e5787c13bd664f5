//! Tests of the gateways' membership table: records and heartbeats of peers are its input. They
//! guard against callers sent to gateways that stopped, two leaders or none, a data centre without
//! a close follower of the store, and gateways that are suspected although they are alive.

#[path = "fleet/gossip.rs"]
mod gossip;

use std::net::SocketAddr;

use gossip::exchange;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::Config;
use hooktrestle_core::direct::members::Distance;
use hooktrestle_core::direct::members::LivenessChange;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::MemberRecord;
use hooktrestle_core::direct::members::Members;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::members::StoreFollowing;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn member(name: &str, heartbeat: u64) -> Member {
    let port = 1_000 + u16::from(name.as_bytes()[0]);
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Member {
        leader_fencing_token: 0,
        store_answers: true,
        name: name.to_owned(),
        incarnation: 1,
        heartbeat,
        callers_at: address,
        peers_at: address,
        data_centre: format!("hall-{name}"),
        memory_bytes: 0,
        readiness: Readiness::Ready,
    }
}

/// The record of a gateway that was alive just now.
fn fresh(member: &Member) -> MemberRecord {
    MemberRecord { member: member.clone(), age: Millis::ZERO }
}

/// A gateway in one data centre with all others.
fn neighbour(name: &str) -> Member {
    Member { data_centre: "hall".to_owned(), ..member(name, 1) }
}

#[test]
fn a_gateway_follows_the_store_closely_if_few_available_local_gateways_precede_it() {
    let now = Millis(10_000);
    let mut members = Members::new(Config::default(), neighbour("d"));
    assert_eq!(members.store_following(now), StoreFollowing::First, "it knows no other gateway");
    members.record_exchange(now);
    members.apply_record(&fresh(&neighbour("e")), now);
    assert_eq!(members.store_following(now), StoreFollowing::First, "none precedes it");
    members.apply_record(&fresh(&neighbour("a")), now);
    members.apply_record(&fresh(&neighbour("b")), now);
    members.apply_record(&fresh(&member("c", 1)), now);
    assert_eq!(
        members.store_following(now),
        StoreFollowing::Close,
        "two of its data centre precede it"
    );
    members.apply_record(&fresh(&neighbour("c2")), now);
    assert_eq!(members.store_following(now), StoreFollowing::Loose);
    members.apply_record(
        &fresh(&Member { heartbeat: 2, store_answers: false, ..neighbour("b") }),
        now,
    );
    assert_eq!(
        members.store_following(now),
        StoreFollowing::Close,
        "the store does not answer one of them"
    );
    members.apply_record(&fresh(&Member { heartbeat: 3, ..neighbour("b") }), now);
    assert_eq!(members.store_following(now), StoreFollowing::Loose);
    members.mark_unreachable(neighbour("a").peers_at);
    assert_eq!(
        members.store_following(now),
        StoreFollowing::Close,
        "one of them cannot be reached"
    );
}

#[test]
fn a_gateway_without_recent_gossip_exchanges_follows_the_store_closely() {
    let mut members = Members::new(Config::default(), neighbour("d"));
    for name in ["a", "b", "c"] {
        members.apply_record(&fresh(&neighbour(name)), Millis(1_000));
    }
    members.record_exchange(Millis(1_000));
    assert_eq!(members.store_following(Millis(2_400)), StoreFollowing::Loose);
    assert_eq!(members.store_following(Millis(2_500)), StoreFollowing::First);
}

#[test]
fn a_gateway_whose_heartbeat_does_not_advance_is_not_listed_for_callers() {
    let config =
        Config { suspect_after: Millis(3_000), remove_after: Millis(60_000), ..Config::default() };
    let mut members = Members::new(config, member("a", 1));
    members.set_readiness(Readiness::Ready);
    members.apply_record(&fresh(&member("b", 1)), Millis(0));
    let both = members.for_callers(|name| Distance::within_region(name, "hall-b"), Millis(1_000));
    assert_eq!(both[0], member("b", 1).callers_at, "the nearest comes first");
    // The same heartbeat, sent again by a third gateway, does not prove that it is alive.
    members.apply_record(&fresh(&member("b", 1)), Millis(2_900));
    assert_eq!(
        members.for_callers(|name| Distance::within_region(name, "hall-b"), Millis(3_000)),
        [member("a", 1).callers_at]
    );
    members.apply_record(&fresh(&member("b", 2)), Millis(3_100));
    assert_eq!(
        members.for_callers(|name| Distance::within_region(name, "hall-b"), Millis(3_200)).len(),
        2
    );
}

#[test]
fn liveness_changes_lists_gateways_whose_state_changed() {
    let mut members = Members::new(Config::default(), member("a", 1));
    members.apply_record(&fresh(&member("b", 7)), Millis(0));
    let look = |members: &mut Members, now| {
        members.remove_expired(now);
        let changes = members.liveness_changes(now);
        changes.iter().map(LivenessChange::to_string).collect::<Vec<String>>()
    };
    assert_eq!(look(&mut members, Millis(100)), ["b lives at heartbeat 7"]);
    members.apply_record(&fresh(&member("b", 8)), Millis(600));
    assert!(look(&mut members, Millis(600)).is_empty());
    assert_eq!(look(&mut members, Millis(3_600)), ["b is silent at heartbeat 8"]);
    members.apply_table(&[member("c", 0)], Millis(3_700));
    assert_eq!(look(&mut members, Millis(3_700)), ["c is silent at heartbeat 0"]);
    assert_eq!(look(&mut members, Millis(60_600)), ["b is forgotten at heartbeat 8"]);
}

#[test]
fn a_restarted_gateway_picks_a_higher_incarnation_than_its_earlier_process() {
    let mut members = Members::new(Config::default(), member("a", 0));
    members.apply_record(&fresh(&Member { incarnation: 9, ..member("a", 55) }), Millis(0));
    assert_eq!(members.own().incarnation, 10);
}

#[test]
fn callers_get_an_address_even_if_no_gateway_is_ready() {
    let mut members = Members::new(Config::default(), member("a", 1));
    members.set_readiness(Readiness::Starting);
    assert_eq!(
        members.for_callers(|name| Distance::within_region(name, "x"), Millis(0)),
        [member("a", 1).callers_at]
    );
    members.apply_record(&fresh(&member("b", 1)), Millis(0));
    assert_eq!(
        members.for_callers(|name| Distance::within_region(name, "x"), Millis(0)),
        [member("b", 1).callers_at]
    );
}

#[test]
fn a_leader_continues_until_it_is_suspected_leaves_or_meets_a_higher_token() {
    let config =
        Config { suspect_after: Millis(3_000), remove_after: Millis(60_000), ..Config::default() };
    let mut members = Members::new(config, member("b", 1));
    members.set_readiness(Readiness::Ready);
    assert!(members.should_lead(Millis(0)), "it knows no other");
    members.apply_record(&fresh(&Member { leader_fencing_token: 7, ..member("c", 1) }), Millis(0));
    assert!(!members.should_lead(Millis(100)), "another leads");
    members.apply_record(&fresh(&member("a", 1)), Millis(2_000));
    assert!(!members.should_lead(Millis(3_500)), "no gateway leads, and another is first by name");
    assert!(members.should_lead(Millis(6_000)), "all others are suspected");
    members.begin_leadership(9);
    members.apply_record(&fresh(&member("a", 2)), Millis(6_100));
    assert!(members.should_lead(Millis(6_200)), "it leads, though another is first by name");
    members
        .apply_record(&fresh(&Member { leader_fencing_token: 8, ..member("a", 3) }), Millis(6_300));
    assert!(members.should_lead(Millis(6_400)), "the other has a lower token");
    members.apply_record(
        &fresh(&Member { leader_fencing_token: 10, ..member("a", 4) }),
        Millis(6_500),
    );
    assert!(!members.should_lead(Millis(6_600)), "the other has a higher token");
    members.end_leadership(9);
    members.apply_record(
        &fresh(&Member { readiness: Readiness::Leaving, ..member("a", 5) }),
        Millis(6_700),
    );
    assert!(members.should_lead(Millis(6_800)), "a gateway that leaves does not lead any more");
}

#[test]
fn a_gateway_that_cannot_reach_the_store_does_not_claim_leadership() {
    let mut members = Members::new(Config::default(), member("b", 1));
    members.set_readiness(Readiness::Ready);
    members.apply_record(&fresh(&member("a", 1)), Millis(0));
    assert!(!members.should_lead(Millis(100)), "another is first by name");
    members.apply_record(&fresh(&Member { store_answers: false, ..member("a", 2) }), Millis(200));
    assert!(members.should_lead(Millis(300)), "that one could not claim it");
    members.set_store_answers(false);
    assert!(!members.should_lead(Millis(300)));
    members.begin_leadership(1);
    assert!(members.should_lead(Millis(300)), "a leader needs no store");
}

#[test]
fn an_unadvertised_leadership_continues_until_another_gateway_leads() {
    let mut members = Members::new(Config::default(), member("b", 1));
    members.set_readiness(Readiness::Ready);
    members.apply_record(&fresh(&member("a", 1)), Millis(0));
    members.begin_leadership(3);
    members.advertise_leadership(false);
    assert_eq!(members.own().leader_fencing_token, 0, "it is not advertised");
    assert!(members.should_lead(Millis(100)), "no other gateway leads");
    members.advertise_leadership(true);
    assert_eq!(members.own().leader_fencing_token, 3);
    members.advertise_leadership(false);
    members
        .apply_record(&fresh(&Member { leader_fencing_token: 4, ..member("a", 2) }), Millis(200));
    assert!(!members.should_lead(Millis(300)));
}

#[test]
fn the_preferred_leader_has_the_most_memory_and_then_the_first_name() {
    let able = |memory_bytes, name| Member { memory_bytes, store_answers: true, ..member(name, 1) };
    let mut members = Members::new(Config::default(), able(512, "c"));
    members.set_readiness(Readiness::Ready);
    members.apply_record(&fresh(&able(160, "a")), Millis(0));
    members.apply_record(&fresh(&able(0, "b")), Millis(0));
    assert!(members.should_lead(Millis(100)), "it has more than those that precede it by name");
    assert_eq!(members.count_preferred_leaders(), 0);
    members.apply_record(&fresh(&able(512, "d")), Millis(100));
    assert!(members.should_lead(Millis(200)));
    members.apply_record(&fresh(&able(512, "b2")), Millis(200));
    assert!(!members.should_lead(Millis(300)), "as much, and it precedes it by name");
    assert_eq!(members.count_preferred_leaders(), 1);
    members
        .apply_record(&fresh(&Member { leader_fencing_token: 3, ..able(160, "a") }), Millis(300));
    members.apply_record(
        &fresh(&Member { heartbeat: 2, leader_fencing_token: 3, ..able(160, "a") }),
        Millis(300),
    );
    members.begin_leadership(2);
    assert!(!members.should_lead(Millis(400)), "a leader stays, whatever memory it has");
}

#[test]
fn ending_an_earlier_leadership_does_not_end_the_current_one() {
    let mut members = Members::new(Config::default(), member("a", 1));
    members.begin_leadership(3);
    members.begin_leadership(4);
    members.end_leadership(3);
    assert_eq!(members.own().leader_fencing_token, 4);
    members.end_leadership(4);
    assert_eq!(members.own().leader_fencing_token, 0);
}

/// One gossip exchange between two of these gateways.
fn exchange_between(all: &mut [Members], starter: usize, peer: usize, now: Millis) {
    let [starter, peer] = all.get_disjoint_mut([starter, peer]).expect("two of them");
    exchange((starter, now), (peer, now));
}

/// Runs many gateways that know only the first of them at the start, and are alive all the time.
/// Returns the fraction of all pairs in which one suspects the other, once heartbeats have had time
/// to propagate.
fn fraction_suspected(gateways: usize) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let address = |index: usize| SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
    let named = |index: usize| {
        let at = address(index);
        Member { callers_at: at, peers_at: at, ..member(&format!("g{index}"), 1) }
    };
    let new = |index| Members::new(Config::default(), named(index));
    let mut all: Vec<Members> = (0..gateways).map(new).collect();
    all[1..].iter_mut().for_each(|members| members.apply_record(&fresh(&named(0)), Millis::ZERO));
    let mut due: Vec<u64> = (0..gateways).map(|_| rng.random_range(0..600)).collect();
    let (mut suspected, mut pairs) = (0, 0);
    for now in (0..14_000).step_by(10).map(Millis) {
        for starter in 0..gateways {
            if due[starter] > now.0 {
                continue;
            }
            all[starter].advance_heartbeat();
            due[starter] = now.0 + all[starter].gossip_interval().0;
            if let Some(picked) = all[starter].random_peer(now, &mut rng) {
                exchange_between(&mut all, starter, usize::from(picked.port() - 1_000), now);
            }
        }
        if now.0 >= 10_000 && now.0.is_multiple_of(500) {
            suspected +=
                all.iter().map(|members| gateways - members.count_alive(now)).sum::<usize>();
            pairs += gateways * (gateways - 1);
        }
    }
    suspected as f64 / pairs as f64
}

#[test]
fn gateways_that_are_alive_are_rarely_suspected_in_fleets_of_any_size() {
    for gateways in [2, 8, 40, 149] {
        let fraction = fraction_suspected(gateways);
        // One pair in some thousand may be: callers get other gateways for a gossip round.
        assert!(fraction < 5e-4, "{gateways} gateways: {fraction}");
    }
}

#[test]
fn heartbeats_update_known_records_and_request_unknown_ones() {
    let now = Millis(1_000);
    let mut a = Members::new(Config::default(), member("a", 3));
    let mut b = Members::new(Config::default(), member("b", 4));
    assert_eq!(
        b.apply_heartbeats(&a.heartbeats(now), now),
        [a.own().incarnation_id()],
        "it is not known yet"
    );
    b.apply_record(&a.own_record(), now);
    a.begin_leadership(9);
    a.advance_heartbeat();
    a.set_readiness(Readiness::Leaving);
    assert!(b.apply_heartbeats(&a.heartbeats(now), now).is_empty());
    assert_eq!(b.records_of(&[a.own().incarnation_id()], now), [a.own_record()]);
    assert_eq!(b.records_missing_from(&a.heartbeats(now), now), [b.own_record()]);
    // An older heartbeat does not replace a newer one.
    let old = Member { heartbeat: 3, leader_fencing_token: 0, ..a.own().clone() };
    b.apply_heartbeats(&[old.to_heartbeat(Millis::ZERO)], now);
    assert_eq!(b.records_of(&[a.own().incarnation_id()], now), [a.own_record()]);
    // Another process of the same instance is another incarnation, and replaces the earlier one.
    let next = Member { incarnation: 7, heartbeat: 0, ..a.own().clone() };
    b.apply_record(&fresh(&next), now);
    assert_eq!(b.apply_heartbeats(&a.heartbeats(now), now), [a.own().incarnation_id()]);
    assert_eq!(
        b.records_of(&[a.own().incarnation_id(), next.incarnation_id()], now),
        [fresh(&next)]
    );
}

#[test]
fn random_local_peer_picks_every_alive_gateway_of_the_own_data_centre_only() {
    let now = Millis(1_000);
    let mut members = Members::new(Config::default(), neighbour("d"));
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    members.apply_record(&fresh(&member("a", 1)), now);
    assert_eq!(members.random_local_peer(now, &mut rng), None, "no gateway is alive there");
    for name in ["b", "c"] {
        members.apply_record(&fresh(&neighbour(name)), now);
    }
    let local = ["b", "c"].map(|name| Some(neighbour(name).peers_at));
    let picked: Vec<_> = (0..40).map(|_| members.random_local_peer(now, &mut rng)).collect();
    assert!(picked.iter().all(|one| local.contains(one)), "{picked:?}");
    assert!(local.iter().all(|one| picked.contains(one)), "each of them in turn");
}

/// Guards against an unequal share of callers: callers get 64 gateways at most, and pick one of
/// them at random. There are five data centres of 30 gateways.
#[test]
fn all_gateways_are_listed_for_callers_about_equally_often() {
    let now = Millis(1_000);
    let named = |index: usize| {
        let at = SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
        let data_centre = format!("hall-{}", index / 30);
        Member { callers_at: at, peers_at: at, data_centre, ..member(&format!("g{index:03}"), 1) }
    };
    let mut picked = vec![0.0; 150];
    for number in 0..150 {
        let mut members = Members::new(Config::default(), named(number));
        (0..150)
            .filter(|other| *other != number)
            .for_each(|other| members.apply_record(&fresh(&named(other)), now));
        let given = members
            .for_callers(|name| Distance::within_region(name, &named(number).data_centre), now);
        let local =
            given.iter().take(30).filter(|at| (at.port() as usize - 1_000) / 30 == number / 30);
        assert_eq!(local.count(), 30, "those of the own data centre come first");
        given.iter().take(64).for_each(|at| picked[at.port() as usize - 1_000] += 1.0 / 64.0);
    }
    let max_share = picked.iter().copied().fold(0.0, f64::max);
    let min_share = picked.iter().copied().fold(f64::MAX, f64::min);
    assert!(
        min_share > 0.6 && max_share < 1.4,
        "one share in 150 each, more or less: {min_share} to {max_share}"
    );
}

/// Guards against a restarted gateway that stays unknown. Incarnations are times of day, which can
/// jump by hours, ahead and back.
#[test]
fn a_restarted_process_with_a_changed_clock_is_known_after_two_exchanges() {
    const HOUR_MS: u64 = 3_600_000;
    let started = |clock_ms, heartbeat| {
        let own = Member { incarnation: clock_ms, ..member("a", heartbeat) };
        Members::new(Config::default(), own)
    };
    for (before_ms, after_ms) in [(9 * HOUR_MS, 5 * HOUR_MS), (5 * HOUR_MS, 9 * HOUR_MS)] {
        let mut all = vec![started(before_ms, 70), Members::new(Config::default(), member("b", 1))];
        exchange_between(&mut all, 0, 1, Millis(100));
        assert_eq!(all[1].count_alive(Millis(200)), 2);
        // The process is killed, and the next one of its instance starts with the other clock.
        all[0] = started(after_ms, 0);
        all[0].set_readiness(Readiness::Starting);
        for at in [3_200, 3_800] {
            all[0].advance_heartbeat();
            exchange_between(&mut all, 0, 1, Millis(at));
        }
        assert!(
            all[0].own().incarnation > before_ms,
            "it takes a higher incarnation than the process before it"
        );
        let named = all[1].records_of(&[all[0].own().incarnation_id()], Millis(3_800));
        assert_eq!(named, [all[0].own_record()]);
        assert_eq!(all[1].count_alive(Millis(6_500)), 2, "it is alive by the monotonic clock");
    }
}

/// Gossip rounds until all of so many gateways know of a leadership that one has begun.
fn rounds_until_all_know(gateways: usize, seed: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let named = |index: usize| {
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
        Member { callers_at: address, peers_at: address, ..member(&format!("g{index}"), 1) }
    };
    let now = Millis(1_000);
    let mut all: Vec<Members> = (0..gateways)
        .map(|index| {
            let mut members = Members::new(Config::default(), named(index));
            let others = (0..gateways).filter(|other| *other != index);
            others.for_each(|other| members.apply_record(&fresh(&named(other)), now));
            members
        })
        .collect();
    all[0].begin_leadership(5);
    for round in 1..100 {
        for starter in 0..gateways {
            all[starter].advance_heartbeat();
            let Some(address) = all[starter].random_peer(now, &mut rng) else { continue };
            let peer = usize::from(address.port() - 1_000);
            exchange_between(&mut all, starter, peer, now);
        }
        let knows_leader =
            |members: &Members| members.known().any(|gateway| gateway.leader_fencing_token == 5);
        if all.iter().all(knows_leader) {
            return round;
        }
    }
    panic!("records do not propagate");
}

#[test]
fn a_claim_is_protected_until_all_gateways_have_heard_of_it() {
    for gateways in [2, 6, 8, 32, 100] {
        let mut members = Members::new(Config::default(), member("a", 1));
        for index in 1..gateways {
            members.apply_record(&fresh(&member(&format!("g{index}"), 1)), Millis(1_000));
        }
        let protected = members.propagation_time().0 / Config::default().gossip_interval.0;
        for seed in 0..40 {
            let rounds = rounds_until_all_know(gateways, seed);
            assert!(rounds <= protected, "{gateways} gateways: {rounds} of {protected} rounds");
        }
    }
}

#[test]
fn a_leader_that_is_not_told_of_or_replaced_begins_no_change() {
    let now = Millis(1_000);
    let mut members = Members::new(Config::default(), member("a", 1));
    assert!(!members.may_send_orders(now), "it does not lead");
    members.begin_leadership(5);
    assert!(members.may_send_orders(now));
    members.advertise_leadership(false);
    assert!(!members.may_send_orders(now), "another may take over");
    members.advertise_leadership(true);
    assert!(members.may_send_orders(now));
    members.apply_record(&fresh(&Member { leader_fencing_token: 6, ..member("b", 1) }), now);
    assert!(!members.may_send_orders(now), "another has taken over");
}

/// Guards against callers that are sent to a region in which their requests may not be processed,
/// while a gateway in an allowed region is alive, and against callers that get no gateway at all.
#[test]
fn callers_get_gateways_of_regions_where_their_requests_are_not_allowed_only_as_a_last_resort() {
    let distance = |data_centre: &str| match data_centre {
        "own" => Distance::SameDataCentre,
        "near" => Distance::SameRegion,
        "home" => Distance::Allowed,
        _ => Distance::LastResort,
    };
    let at = |index: u16| SocketAddr::from(([127, 0, 0, 1], 1_000 + index));
    let in_data_centre = |index: u16, data_centre: &str| Member {
        callers_at: at(index),
        data_centre: data_centre.to_owned(),
        ..member(&format!("g{index}"), 1)
    };
    let mut members = Members::new(Config::default(), in_data_centre(0, "elsewhere"));
    let now = Millis(100);
    assert_eq!(members.for_callers(distance, now), [at(0)], "there is no other");
    for (index, data_centre) in [(1, "home"), (2, "near"), (3, "own"), (4, "elsewhere")] {
        members.apply_record(&fresh(&in_data_centre(index, data_centre)), now);
    }
    assert_eq!(members.for_callers(distance, now), [at(3), at(2), at(1)]);
}
