//! Report of `hooktrestle-bench emulate`. Input: the scenarios and policies of the simulator. It
//! holds no state. Prints the mean results over several seeds.

use hooktrestle_bench::emulator::Outcome;
use hooktrestle_bench::emulator::Policy;
use hooktrestle_bench::emulator::Scenario;
use hooktrestle_bench::emulator::scenarios;
use hooktrestle_bench::emulator::simulate;
use hooktrestle_core::direct::admission;

/// Number of seeds with which each scenario is simulated.
const SEEDS: u64 = 4;

/// Prints the results of each scenario with each policy.
pub(crate) fn print() {
    println!(
        "{:<28} {:<14} {:>6} {:>8} {:>6} {:>8} {:>6} {:>8} {:>10}",
        "scene", "policy", "worth", "in time", "late", "refused", "left", "pass ms", "last long s"
    );
    for (name, scenario) in scenarios() {
        let fixed = scenario.capacity_streams() / scenario.gateways;
        let policies = [
            ("none", Policy::AdmitAll),
            ("fixed", Policy::FixedLimit(fixed.max(1))),
            ("ours", Policy::Gateway(admission::Config::default())),
            ("oracle", Policy::Oracle),
            ("fresh first .5", Policy::FirstAttemptsPreferred(0.5)),
            ("fresh first .7", Policy::FirstAttemptsPreferred(0.7)),
            ("yields .5", Policy::RetriesYield(0.5)),
            ("yields .7", Policy::RetriesYield(0.7)),
            ("yields 1", Policy::RetriesYield(1.0)),
        ];
        for (label, policy) in policies {
            row(&name, label, &scenario, policy);
        }
    }
}

fn row(name: &str, label: &str, scenario: &Scenario, policy: Policy) {
    let outcomes = (0..SEEDS).map(|seed| simulate(&Scenario { seed, ..scenario.clone() }, policy));
    let outcomes: Vec<Outcome> = outcomes.collect();
    let mean = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / SEEDS as f64;
    let share = |of: fn(&Outcome) -> u32| {
        let parts = outcomes.iter().map(|one| f64::from(of(one)) / f64::from(one.requests.max(1)));
        parts.sum::<f64>() / SEEDS as f64
    };
    println!(
        "{name:<28} {label:<14} {:>6.3} {:>8.3} {:>6.3} {:>8.3} {:>6.3} {:>8.1} {:>10.1}",
        mean(Outcome::score),
        share(|one| one.in_time),
        share(|one| one.late),
        share(|one| one.refused),
        share(|one| one.timed_out),
        mean(|one| one.pass_ms),
        mean(|one| one.last_long_ms as f64 / 1_000.0),
    );
}
