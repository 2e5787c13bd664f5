//! Report of `hooktrestle-bench plans`. Input: the shapes below. It holds no state. Prints the time
//! and the skew of the plans for each shape.

use hooktrestle_bench::plans::Shape;
use hooktrestle_bench::plans::measure;

/// Seed of the demand.
const SEED: u64 = 20_261_202;

/// Shapes of the users' current and next deployments, and of the target size: ranks of a group,
/// experts in each set, maximum number of experts of a set on a rank, sets of layers.
const SHAPES: [(usize, usize, usize, usize); 6] = [
    (8, 64, 11, 6),
    (32, 128, 5, 12),
    (64, 256, 5, 12),
    (96, 192, 3, 16),
    (128, 256, 3, 16),
    (256, 256, 3, 16),
];

/// Prints two rows for each shape: with equally fast ranks, and with one slow rank.
pub(crate) fn print() {
    println!(
        "{:>5} {:>7} {:>6} {:>4} {:>8} {:>9} {:>7} {:>8}",
        "ranks", "experts", "places", "sets", "one slow", "plan ms", "dealt", "planned"
    );
    for (ranks, experts, places, sets) in SHAPES {
        for one_slow in [false, true] {
            let outcome = measure(Shape { ranks, experts, places, sets, one_slow }, SEED);
            let plan_ms = outcome.plan.as_secs_f64() * 1_000.0;
            println!(
                "{ranks:>5} {experts:>7} {places:>6} {sets:>4} {one_slow:>8} {plan_ms:>9.1} \
                 {:>7.3} {:>8.3}",
                outcome.initial, outcome.planned
            );
        }
    }
}
