//! What `hooktrestle-bench emulate` prints.

use hooktrestle_bench::emulator::Outcome;
use hooktrestle_bench::emulator::Policy;
use hooktrestle_bench::emulator::Scene;
use hooktrestle_bench::emulator::play;
use hooktrestle_bench::emulator::scenes;
use hooktrestle_core::direct::admission;

/// Arrivals that each scene is played with.
const SEEDS: u64 = 4;

/// Prints every scene under every policy.
pub(crate) fn print() {
    println!(
        "{:<28} {:<14} {:>6} {:>8} {:>6} {:>8} {:>6} {:>8} {:>10}",
        "scene", "policy", "worth", "in time", "late", "refused", "left", "pass ms", "last long s"
    );
    for (name, scene) in scenes() {
        let fixed = scene.bearable() / scene.gateways;
        let policies = [
            ("none", Policy::All),
            ("fixed", Policy::Fixed(fixed.max(1))),
            ("ours", Policy::Ours(admission::Config::default())),
            ("oracle", Policy::Oracle),
            ("fresh first .5", Policy::FreshFirst(0.5)),
            ("fresh first .7", Policy::FreshFirst(0.7)),
            ("yields .5", Policy::Yields(0.5)),
            ("yields .7", Policy::Yields(0.7)),
            ("yields 1", Policy::Yields(1.0)),
        ];
        for (label, policy) in policies {
            row(&name, label, &scene, policy);
        }
    }
}

fn row(name: &str, label: &str, scene: &Scene, policy: Policy) {
    let played = (0..SEEDS).map(|seed| play(&Scene { seed, ..scene.clone() }, policy));
    let played: Vec<Outcome> = played.collect();
    let mean = |of: fn(&Outcome) -> f64| played.iter().map(of).sum::<f64>() / SEEDS as f64;
    let share = |of: fn(&Outcome) -> u32| {
        let parts = played.iter().map(|one| f64::from(of(one)) / f64::from(one.asked.max(1)));
        parts.sum::<f64>() / SEEDS as f64
    };
    println!(
        "{name:<28} {label:<14} {:>6.3} {:>8.3} {:>6.3} {:>8.3} {:>6.3} {:>8.1} {:>10.1}",
        mean(Outcome::worth),
        share(|one| one.in_time),
        share(|one| one.late),
        share(|one| one.refused),
        share(|one| one.left),
        mean(|one| one.pass_ms),
        mean(|one| one.last_long_ms as f64 / 1_000.0),
    );
}
