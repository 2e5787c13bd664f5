//! Servers that are cold after a start take few requests per second from all gateways together.
//! Guards against gateways that together send more, although each sends little: many gateways that
//! start at once, a granting gateway that dies, a partition with a granting gateway on each side,
//! and rows that reach some gateways late. A simulation of gateways with a pool each checks every
//! window of one second.

use std::collections::HashMap;
use std::net::SocketAddr;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::advertised_limit::Permission;
use hooktrestle_core::direct::advertised_limit::Rate;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::permits::DELEGATION_INTERVAL;
use hooktrestle_core::direct::permits::GatewayId;
use hooktrestle_core::direct::permits::Permits;
use hooktrestle_core::direct::pool::Demand;
use hooktrestle_core::direct::pool::ListedServer;
use hooktrestle_core::direct::pool::Pool;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::pool::WarmUpConfig;
use hooktrestle_core::util::arena::Key;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "hints";

/// What a cold server takes per second, and for how long it is cold.
const RATE_PER_S: f64 = 14.0;
const COLD_FOR: Millis = Millis(3_000);

/// The users' rule: in each window at most 1.5 times what the server takes, and five more.
const WINDOW: Millis = Millis(1_000);
const ALLOWED: usize = (1.5 * RATE_PER_S) as usize + 5;

/// Time to the next step of the simulation, and maximum transit time of a request.
const STEP: Millis = Millis(10);
const MAX_TRANSIT_MS: u64 = 20;

/// When the granting gateway dies or the gateways are cut in halves.
const FAULT_AT: Millis = Millis(1_300);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// All gateways start as the server does.
    AllStart,
    GranterDies,
    Cut,
}

struct Gateway {
    pool: Pool,
    server: Key<Server>,
    permits: Permits,
    row_at: Millis,
    is_alive: bool,
}

impl Gateway {
    fn new(number: u64, started_at: Millis, row_at: Millis, is_warm_up_known: bool) -> Gateway {
        let mut pool = Pool::new(Default::default());
        if is_warm_up_known {
            let rate = Rate::per_s(RATE_PER_S);
            let warm_up = WarmUpConfig { duration: COLD_FOR, rate };
            pool.set_warm_ups(HashMap::from([(SERVICE.to_owned(), warm_up)]));
        }
        pool.list(row(), 1);
        let server = pool.present_of(SERVICE)[0];
        Gateway {
            pool,
            server,
            permits: Permits::new(GatewayId(number), IncarnationId(number), started_at),
            row_at,
            is_alive: true,
        }
    }
}

fn row() -> ListedServer {
    ListedServer {
        id: "s".to_owned(),
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000)),
        data_centre: String::new(),
        region: String::new(),
        slots: 10,
        leaving: false,
        cold_for: COLD_FOR,
        started_unix_ms: Some(1),
    }
}

struct Setup {
    gateways: usize,
    fault: Fault,
    /// Whether gateways know that servers of this service warm up.
    is_warm_up_known: bool,
    seed: u64,
}

/// Arrival times of requests at a server that turns cold at 10 s, which it states in its row.
/// Demand is ten times what the server takes, at random gateways.
fn play(setup: &Setup) -> Vec<Millis> {
    let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
    let cold_at = Millis(10_000);
    let started_at = if setup.fault == Fault::AllStart { cold_at } else { Millis::ZERO };
    let mut gateways: Vec<Gateway> = (0..setup.gateways)
        .map(|number| {
            // A gateway sends nothing to a server before it has received the row.
            let row_at = cold_at + Millis(rng.random_range(0..1_500));
            Gateway::new(number as u64, started_at, row_at, setup.is_warm_up_known)
        })
        .collect();
    let mut arrived = Vec::new();
    let end = cold_at + COLD_FOR;
    for now in (cold_at.0..end.0).step_by(STEP.0 as usize).map(Millis) {
        let has_fault = now >= cold_at + FAULT_AT;
        if has_fault && setup.fault == Fault::GranterDies {
            gateways[0].is_alive = false;
        }
        let is_cut = has_fault && setup.fault == Fault::Cut;
        let granter_of = |gateways: &[Gateway], number: usize| {
            let is_reached =
                |other: &usize| gateways[*other].is_alive && (!is_cut || *other % 2 == number % 2);
            (0..gateways.len()).find(is_reached).unwrap_or(number)
        };
        for number in 0..gateways.len() {
            if now >= gateways[number].row_at {
                // The row states how long the server stays cold from the time of writing.
                let left = COLD_FOR - now.since(cold_at);
                gateways[number].pool.record_cold("s", left, now);
            }
            let phase = Millis(number as u64 * 37 % DELEGATION_INTERVAL.0);
            if (now.0 + phase.0) % DELEGATION_INTERVAL.0 < STEP.0 {
                let granter = granter_of(&gateways, number);
                delegate(&mut gateways, number, granter, now);
            }
        }
        let wanted = rng.random_bool(10.0 * RATE_PER_S * STEP.0 as f64 / 1_000.0 % 1.0);
        let requests = (10.0 * RATE_PER_S * STEP.0 as f64 / 1_000.0) as usize + usize::from(wanted);
        for _ in 0..requests {
            let number = rng.random_range(0..gateways.len());
            let knows_row = now >= gateways[number].row_at;
            if !gateways[number].is_alive || !knows_row {
                continue;
            }
            let granter = granter_of(&gateways, number);
            if send(&mut gateways, number, granter, now) {
                arrived.push(now + Millis(rng.random_range(0..MAX_TRANSIT_MS)));
            }
        }
    }
    arrived.sort();
    arrived
}

fn delegate(gateways: &mut [Gateway], number: usize, granter: usize, now: Millis) {
    let to = IncarnationId(granter as u64);
    if gateways[number].permits.delegate_share(to, now) {
        gateways[granter].permits.add_share(GatewayId(number as u64), now);
    }
}

/// Whether a gateway sends a request to the server, with a permit if it needs one.
fn send(gateways: &mut [Gateway], number: usize, granter: usize, now: Millis) -> bool {
    let gateway = &mut gateways[number];
    let mut rng = ChaCha8Rng::seed_from_u64(now.0);
    if gateway.pool.choose(&Demand::for_service(SERVICE), now, &mut rng).is_none() {
        return false;
    }
    let server = gateway.server;
    let permission = gateway.pool.take_permit(server, now);
    gateway.pool.undo_choice(server, 1.0);
    let Permission::Ask(wanted) = permission else {
        return matches!(permission, Permission::Free | Permission::Until(_));
    };
    delegate(gateways, number, granter, now);
    let limit = gateways[number].pool.warm_up_rate(server, now).expect("only then it asks");
    let (incarnation, total) = (ServerIncarnation(1), Some(gateways.len()));
    let grant = gateways[granter].permits.grant(incarnation, limit, wanted, 0.0, total, now);
    let pool = &mut gateways[number].pool;
    pool.record_grant(server, grant, now, now);
    grant.permits > 0 && matches!(pool.take_permit(server, now), Permission::Until(_))
}

/// The largest number of requests in a window.
fn max_in_window(arrived: &[Millis]) -> usize {
    let in_window =
        |(first, at): (usize, &Millis)| arrived[first..].partition_point(|one| *one < *at + WINDOW);
    arrived.iter().enumerate().map(in_window).max().unwrap_or_default()
}

#[test]
fn a_cold_server_gets_no_more_than_it_takes_from_all_gateways_together() {
    for gateways in [1, 3, 34, 300] {
        for fault in [Fault::None, Fault::AllStart, Fault::GranterDies, Fault::Cut] {
            for seed in 0..4 {
                let setup = Setup { gateways, fault, is_warm_up_known: true, seed };
                let found = max_in_window(&play(&setup));
                assert!(found <= ALLOWED, "{gateways} gateways, {fault:?}: {found} in a window");
            }
        }
    }
}

/// Guards against cold servers that get next to nothing: the rest of the demand would be refused
/// after a data centre has returned.
#[test]
fn a_cold_server_gets_most_of_what_it_takes() {
    for gateways in [3, 34, 300] {
        let setup = Setup { gateways, fault: Fault::None, is_warm_up_known: true, seed: 1 };
        let arrived = play(&setup);
        let last_s = arrived.iter().filter(|at| **at >= Millis(12_000)).count();
        assert!(last_s as f64 >= 0.6 * RATE_PER_S, "{gateways} gateways: {last_s} in a second");
    }
}

#[test]
fn the_simulation_detects_gateways_that_ignore_the_warm_up() {
    let setup = Setup { gateways: 34, fault: Fault::None, is_warm_up_known: false, seed: 1 };
    assert!(max_in_window(&play(&setup)) > ALLOWED);
}

/// Guards against a data centre that is filled at once when its evacuation ends: its servers may
/// have turned cold, and their rows are late.
#[test]
fn servers_of_a_data_centre_that_returns_are_treated_as_cold() {
    let mut gateway = Gateway::new(0, Millis::ZERO, Millis::ZERO, true);
    let (pool, server) = (&mut gateway.pool, gateway.server);
    let now = Millis(5_000);
    pool.set_evacuated([String::new()].into(), now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert_eq!(pool.choose(&Demand::for_service(SERVICE), now, &mut rng), None);
    assert_eq!(pool.take_permit(server, now), Permission::Free);
    pool.set_evacuated([].into(), now);
    assert_eq!(pool.warm_up_rate(server, now), Some(Rate::per_s(RATE_PER_S)));
    // A row that was written before the end does not lift the limit.
    pool.list(ListedServer { cold_for: Millis::ZERO, ..row() }, 2);
    assert!(!pool.record_cold("s", Millis::ZERO, now));
    assert!(pool.is_limited(server, now + COLD_FOR - Millis(1)));
    assert!(!pool.is_limited(server, now + COLD_FOR));
}
