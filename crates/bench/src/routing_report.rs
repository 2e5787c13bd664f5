//! Report of `hooktrestle-bench routing`. Input: the simulations of each policy. It holds no state.
//! Prints the waits, and the gateways' p95 over that of the best baseline.

use hooktrestle_bench::placement::quantile;
use hooktrestle_bench::routing::Config;
use hooktrestle_bench::routing::Policy;
use hooktrestle_bench::routing::run;
use hooktrestle_core::routing;

const BASELINES: [Policy; 4] =
    [Policy::Random, Policy::RoundRobin, Policy::LeastReported, Policy::TwoReported];

/// Prints every policy at every load, and the gateways' p95 over the best baseline at 80% load.
pub(crate) fn print() {
    let mut worst: f64 = 0.0;
    for (name, gateways, servers) in [("today", 8, 16), ("target, one service", 24, 45)] {
        for (load, stalls) in [(0.6, false), (0.8, false), (0.95, false), (0.8, true)] {
            let duration_ms = 300_000.0;
            let config = Config { gateways, servers, load, stalls, duration_ms, seed: 20_261_202 };
            let stall = if stalls { ", one stalls" } else { "" };
            println!("{name}: {gateways} gateways, {servers} servers, load {load}{stall}");
            let ratio = rows(config);
            if load == 0.8 && !stalls {
                worst = worst.max(ratio);
            }
        }
    }
    println!("routing: p95_ratio_at_80={worst:.3}");
}

/// Prints a row for each policy; returns the gateways' p95 over the best baseline's.
fn rows(config: Config) -> f64 {
    println!("  {:<14} {:>8} {:>8} {:>8} {:>8}", "policy", "p50 ms", "p95 ms", "p99 ms", "busiest");
    let (mut best_p95_ms, mut gateway_p95_ms) = (f64::MAX, f64::NAN);
    let gateway_policy = Policy::Gateway(routing::Config::default());
    let policies = BASELINES.into_iter().chain([gateway_policy]);
    for policy in policies {
        let outcome = run(policy, config);
        let at = |fraction| quantile(&outcome.first_ms, fraction);
        println!(
            "  {:<14} {:>8.1} {:>8.1} {:>8.1} {:>8.3}",
            name(policy),
            at(0.5),
            at(0.95),
            at(0.99),
            outcome.busiest
        );
        if matches!(policy, Policy::Gateway(_)) {
            gateway_p95_ms = at(0.95);
        } else {
            best_p95_ms = best_p95_ms.min(at(0.95));
        }
    }
    gateway_p95_ms / best_p95_ms
}

fn name(policy: Policy) -> String {
    match policy {
        Policy::Gateway(_) => "Ours".to_owned(),
        baseline => format!("{baseline:?}"),
    }
}
