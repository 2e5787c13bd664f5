//! Requests without a stream at few servers, of which each gateway sees little.
//!
//! Guards against requests that are lost at a server that loses answers or is slow while its health
//! is good: with many gateways, each one sees an answer of it once in seconds, and learns too late.
//! Guards also against requests that end by their deadline in a server's queue, where a refusal
//! would have told their callers that they did not run.

use std::net::SocketAddr;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::pool;
use hooktrestle_core::direct::pool::AttemptOutcome;
use hooktrestle_core::direct::pool::Demand;
use hooktrestle_core::direct::pool::ListedServer;
use hooktrestle_core::direct::pool::PlainDemand;
use hooktrestle_core::direct::pool::Pool;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::queue_wait::Timeliness;
use hooktrestle_core::direct::shared_faults::FaultId;
use hooktrestle_core::direct::shared_faults::Repeatability;
use hooktrestle_core::direct::shared_faults::SharedFault;
use hooktrestle_core::direct::shared_faults::SharedFaults;
use hooktrestle_core::direct::shared_faults::is_fault;
use hooktrestle_core::direct::shared_faults::is_silence_a_fault;
use hooktrestle_core::util::arena::Key;
use proptest::collection::vec;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "bookings";
const SLOTS: u32 = 6;

/// Time between two gossip rounds of a gateway.
const GOSSIP_INTERVAL_MS: u64 = 600;

/// Requests per second of all gateways together.
const REQUESTS_PER_S: u64 = 40;

/// How many of ten requests may run more than once.
const REPEATABLE_OF_TEN: u64 = 2;

/// When the servers begin to lose answers, and end to.
const FAULTS_FROM: Millis = Millis(2_000);
const FAULTS_UNTIL: Millis = Millis(10_000);

/// Time in which all gateways are to know of the faults.
const LEARNING_TIME: Millis = Millis(1_500);

fn pool(servers: usize) -> (Pool, Vec<Key<Server>>) {
    let mut pool = Pool::new(pool::Config::default());
    for index in 0..servers {
        let listed = ListedServer {
            id: format!("s{index}"),
            service: SERVICE.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
            data_centre: String::new(),
            region: String::new(),
            slots: SLOTS,
            leaving: false,
            cold_for: Millis::ZERO,
            started_unix_ms: None,
        };
        pool.list(listed, 1);
    }
    let keys = pool.present_of(SERVICE);
    (pool, keys)
}

fn demand(repeatability: Repeatability, deadline: Millis) -> Demand<'static> {
    let plain = Some(PlainDemand { repeatability, deadline });
    Demand { plain, ..Demand::for_service(SERVICE) }
}

/// Result of a simulation: requests that run once, sent to the servers that lose answers and to the
/// others, from [`LEARNING_TIME`] after the begin of the faults to their end.
#[derive(Debug, Default)]
struct Sent {
    to_faulty: u32,
    to_others: u32,
}

/// Plays gateways that send requests to three servers, of which `faulty` lose three answers in ten.
/// One in `lost_messages` exchanges is lost.
fn play(gateways: usize, faulty: usize, lost_messages: f64) -> Sent {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut pools: Vec<(Pool, Vec<Key<Server>>)> = (0..gateways).map(|_| pool(3)).collect();
    let mut sent = Sent::default();
    let mut urgent: Vec<usize> = Vec::new();
    for now_ms in 1..FAULTS_UNTIL.0 {
        let now = Millis(now_ms);
        if now_ms.is_multiple_of(1_000 / REQUESTS_PER_S) {
            let gateway = rng.random_range(0..gateways);
            let once = rng.random_range(0..10) >= REPEATABLE_OF_TEN;
            let repeatability = if once { Repeatability::Once } else { Repeatability::Repeatable };
            let (pool, keys) = &mut pools[gateway];
            let demand = demand(repeatability, now + Millis(800));
            let Some(server) = pool.choose(&demand, now, &mut rng) else { continue };
            let index = keys.iter().position(|key| *key == server).expect("it is listed");
            let is_lost = now >= FAULTS_FROM && index < faulty && rng.random_bool(0.3);
            let outcome = if is_lost { AttemptOutcome::Lost } else { AttemptOutcome::Answered };
            pool.ended(server, outcome, now);
            if is_lost && pool.record_fault(server, gateway as u64, now) {
                urgent.push(gateway);
            }
            if once && now >= FAULTS_FROM + LEARNING_TIME {
                *(if index < faulty { &mut sent.to_faulty } else { &mut sent.to_others }) += 1;
            }
        }
        let is_due = |one: &usize| {
            let phase_ms = *one as u64 * GOSSIP_INTERVAL_MS / gateways as u64;
            (now_ms + phase_ms).is_multiple_of(GOSSIP_INTERVAL_MS)
        };
        let round = (0..gateways).filter(is_due);
        // A gateway that learns of a server to avoid exchanges with two others at once.
        let urgent_rounds = std::mem::take(&mut urgent).into_iter().flat_map(|one| [one, one]);
        for one in round.chain(urgent_rounds).collect::<Vec<usize>>() {
            let other = rng.random_range(0..gateways);
            if one == other || rng.random_bool(lost_messages) {
                continue;
            }
            let (from_one, from_other) =
                (pools[one].0.faults_to_gossip(now), pools[other].0.faults_to_gossip(now));
            for (receiver, faults) in [(other, from_one), (one, from_other)] {
                if pools[receiver].0.merge_faults(&faults, now) {
                    urgent.push(receiver);
                }
            }
        }
    }
    sent
}

#[test]
fn requests_that_run_once_leave_servers_that_lose_answers() {
    for (gateways, lost_messages) in [(8, 0.0), (18, 0.1), (34, 0.0), (34, 0.3), (432, 0.1)] {
        let sent = play(gateways, 2, lost_messages);
        let all = sent.to_faulty + sent.to_others;
        assert!(all > 100, "{gateways} gateways: only {all} requests");
        assert!(sent.to_faulty * 20 <= all, "{gateways} gateways, {lost_messages}: {sent:?}");
    }
}

#[test]
fn faults_that_all_servers_have_exclude_none() {
    let (mut pool, keys) = pool(3);
    let now = Millis(5_000);
    for round in 0..8 {
        for key in &keys {
            pool.record_fault(*key, 1, now + Millis(round));
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = [0_u32; 3];
    for _ in 0..300 {
        let chosen = pool.choose(&demand(Repeatability::Once, Millis(9_000)), now, &mut rng);
        let index = keys.iter().position(|key| Some(*key) == chosen).expect("one is chosen");
        counts[index] += 1;
        pool.ended(keys[index], AttemptOutcome::Answered, now);
    }
    assert!(counts.iter().all(|count| *count >= 90), "{counts:?}");
}

#[test]
fn a_server_that_was_avoided_is_tried_again_by_requests_that_can_be_repeated() {
    let (mut pool, keys) = pool(3);
    let now = Millis(5_000);
    for _ in 0..4 {
        pool.record_fault(keys[0], 1, now);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut reaches = |repeatability, at: Millis| {
        (0..30).any(|_| {
            let demand = demand(repeatability, at + Millis(800));
            let chosen = pool.choose(&demand, at, &mut rng).expect("one is chosen");
            pool.ended(chosen, AttemptOutcome::Answered, at);
            chosen == keys[0]
        })
    };
    assert!(!reaches(Repeatability::Repeatable, now + Millis(500)));
    assert!(reaches(Repeatability::Repeatable, now + Millis(3_000)));
    assert!(!reaches(Repeatability::Once, now + Millis(3_000)));
    assert!(reaches(Repeatability::Once, now + Millis(9_000)));
}

/// A server reports 6 running and 24 queued requests, each of which takes 360 ms: the next one
/// begins after 1.5 s. Requests with 0.8 s left were sent there, and ended by their deadline.
#[test]
fn a_request_is_not_sent_where_it_would_queue_past_its_deadline() {
    let (mut pool, keys) = pool(1);
    let now = Millis(5_000);
    pool.record_duration(keys[0], Millis(360));
    pool.record_load(keys[0], SLOTS, 24, now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let urgent = demand(Repeatability::Once, now + Millis(800));
    assert_eq!(pool.choose(&urgent, now, &mut rng), None);
    assert_eq!(pool.timeliness(&urgent, now), Timeliness::TooLate(Millis(700)));
    let patient = demand(Repeatability::Once, now + Millis(1_600));
    assert_eq!(pool.timeliness(&patient, now), Timeliness::InTime);
    assert_eq!(pool.choose(&patient, now, &mut rng), Some(keys[0]));
    pool.ended(keys[0], AttemptOutcome::Answered, now);
    // Who returns as told is expected to be in time, since the queue has become shorter.
    let later = now + Millis(701);
    let returning = demand(Repeatability::Once, later + Millis(800));
    assert_eq!(pool.choose(&returning, later, &mut rng), Some(keys[0]));
}

/// A refusal needs a reason: a server of which nothing is known has no queue, and a stream is
/// admitted elsewhere.
#[test]
fn nothing_is_refused_without_a_queue() {
    let (mut pool, keys) = pool(2);
    let now = Millis(5_000);
    let once = demand(Repeatability::Once, now + Millis(100));
    assert_eq!(pool.timeliness(&once, now), Timeliness::InTime);
    keys.iter().for_each(|key| pool.record_duration(*key, Millis(900)));
    assert_eq!(pool.timeliness(&once, now), Timeliness::InTime);
    // One of two servers has a queue.
    pool.record_load(keys[0], SLOTS, 24, now);
    assert_eq!(pool.timeliness(&once, now), Timeliness::InTime);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..4 {
        assert_eq!(pool.choose(&once, now, &mut rng), Some(keys[1]));
        pool.ended(keys[1], AttemptOutcome::Answered, now);
    }
    pool.record_load(keys[1], SLOTS, 24, now);
    let stream = Demand::for_service(SERVICE);
    assert_eq!(pool.timeliness(&stream, now), Timeliness::InTime);
    assert!(pool.choose(&stream, now, &mut rng).is_some());
}

/// Requests that test a deadline, or that an application always fails, end the same at any server.
/// Taken for faults, they made gateways avoid servers that were well.
#[test]
fn what_a_repeatable_request_causes_itself_is_no_fault_of_its_server() {
    let repeatable = Repeatability::Repeatable;
    assert!(!is_fault(AttemptOutcome::Failed, repeatable));
    assert!(!is_fault(AttemptOutcome::Overtaken, repeatable));
    assert!(!is_silence_a_fault(true, repeatable));
    assert!(is_fault(AttemptOutcome::Failed, Repeatability::Once));
    assert!(is_silence_a_fault(true, Repeatability::Once));
    for repeatability in [Repeatability::Once, repeatable] {
        assert!(is_fault(AttemptOutcome::Lost, repeatability));
        assert!(is_fault(AttemptOutcome::Unreachable, repeatability));
        assert!(is_silence_a_fault(false, repeatability));
        assert!(!is_fault(AttemptOutcome::Full, repeatability));
    }
}

proptest! {
    /// Whatever is reported, in whichever order and how often, a service keeps a server that is not
    /// avoided, and a message is bounded.
    #[test]
    fn never_are_all_servers_avoided(
        faults in vec((0_u64..5, 0_u64..4, 0_u64..20, 0_u64..10_000), 0..200),
        servers in 1_usize..6,
    ) {
        let mut shared = SharedFaults::default();
        let mut now = Millis(20_000);
        for (server, reporter, number, age) in faults {
            now = now + Millis(7);
            let id = FaultId { reporter, number };
            shared.merge(&SharedFault { server: ServerIncarnation(server), id, age: Millis(age) }, now);
            let open: Vec<(u64, ServerIncarnation)> =
                (0..servers as u64).map(|one| (one, ServerIncarnation(one))).collect();
            for repeatability in [Repeatability::Once, Repeatability::Repeatable] {
                prop_assert!(shared.avoided(&open, repeatability, now).len() < servers);
            }
            prop_assert!(shared.to_gossip(now).len() <= 24);
        }
    }
}
