//! Simulated groups in lock-step whose callers retry.
//!
//! Guards against a simulator that is not deterministic or loses requests, and against overload
//! that persists after a stall: requests that retry late slow down new ones, so that those are late
//! too.

use hooktrestle_bench::emulator::Outcome;
use hooktrestle_bench::emulator::Policy;
use hooktrestle_bench::emulator::Scenario;
use hooktrestle_bench::emulator::scenarios;
use hooktrestle_bench::emulator::simulate;
use hooktrestle_core::direct::admission;

fn scenario(name: &str) -> Scenario {
    let found = scenarios().into_iter().find(|(other, _)| other == name);
    found.unwrap_or_else(|| panic!("no scenario {name}")).1
}

#[test]
fn simulations_with_the_same_seed_give_the_same_results() {
    let scenario = scenario("both, 1 of 12 ranks");
    let gateway_policy = Policy::Gateway(admission::Config::default());
    let [one, two] = [simulate(&scenario, gateway_policy), simulate(&scenario, gateway_policy)];
    assert_eq!((one.in_time, one.late, one.refused), (two.in_time, two.late, two.refused));
    let other = simulate(&Scenario { seed: 1, ..scenario }, gateway_policy);
    assert_ne!((one.in_time, one.late), (other.in_time, other.late));
}

#[test]
fn a_group_without_stalls_serves_at_least_90_percent_in_time() {
    for (name, scenario) in scenarios().into_iter().filter(|(name, _)| name.starts_with("halts")) {
        let calm = Scenario { stalls: Vec::new(), ..scenario };
        let Outcome { requests, in_time, late, .. } = simulate(&calm, Policy::AdmitAll);
        // Streams that still run at the end count neither as in time nor as late.
        assert!(in_time * 20 > requests * 18, "{name}: {in_time} of {requests}, {late} late");
    }
}

#[test]
fn outcomes_never_exceed_requests_and_cover_over_80_percent() {
    for (name, scenario) in scenarios() {
        let outcome = simulate(&scenario, Policy::AdmitAll);
        let ended = outcome.in_time + outcome.late + outcome.refused + outcome.timed_out;
        assert!(ended <= outcome.requests, "{name}: {outcome:?}");
        assert!(ended * 10 > outcome.requests * 8, "{name}: {outcome:?}");
    }
}

/// If all requests are admitted, the backlog of a stall persists after it: late retries make first
/// attempts late. If retries are admitted only while there is room, the backlog ends.
#[test]
fn a_backlog_persists_after_a_stall_unless_retries_yield() {
    for name in ["halts, 1 of 12 ranks", "halts, 1 of 63 ranks"] {
        let scenario = scenario(name);
        let [all, yields] =
            [Policy::AdmitAll, Policy::RetriesYield(0.5)].map(|policy| simulate(&scenario, policy));
        assert!(all.last_long_ms > 30_000, "{name}: {all:?}");
        assert!(yields.last_long_ms < 8_500, "{name}: {yields:?}");
        assert!(yields.in_time * 4 > all.in_time * 5, "{name}: {all:?} {yields:?}");
    }
}
