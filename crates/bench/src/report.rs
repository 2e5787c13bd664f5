//! Report of `hooktrestle-bench placement`. Input: a seed or a file of counts. It holds no state.
//! Prints the results of each policy, as tables or JSON.

use std::path::Path;

use eyre::Result;
use eyre::ensure;
use hooktrestle_bench::counts;
use hooktrestle_bench::demand;
use hooktrestle_bench::demand::Tick;
use hooktrestle_bench::placement::Group;
use hooktrestle_bench::placement::KETTLE_POND;
use hooktrestle_bench::placement::KIVUKO;
use hooktrestle_bench::placement::Outcome;
use hooktrestle_bench::placement::Policy;
use hooktrestle_bench::placement::Weights;
use hooktrestle_bench::placement::decide_ms;
use hooktrestle_bench::placement::quantile;
use hooktrestle_bench::placement::run;
use hooktrestle_bench::placement::ticks;
use serde_json::json;

use crate::flags::Placement;

/// Two hours, with three turnovers of the popular experts and several themes.
const TICKS: usize = 720;

/// Layers of the model at the target size.
const LAYERS: usize = 58;

/// Target size: 64 ranks, 256 experts a layer, one spare slot a rank.
const TARGET: Group = Group { ranks: 64, slots: 5 };

/// Current size: 16 ranks, 64 experts a layer.
const CURRENT: Group = Group { ranks: 16, slots: 5 };

/// The weights of the two users, some between them, and some beyond them.
const CURVE: [Weights; 7] = [
    Weights { skew: 16.0, rebalance: 1.0 },
    Weights { skew: 2.0, rebalance: 1.0 },
    KIVUKO,
    Weights { skew: 1.0, rebalance: 6.0 },
    Weights { skew: 1.0, rebalance: 24.0 },
    KETTLE_POND,
    Weights { skew: 1.0, rebalance: 400.0 },
];

/// Prints every policy on seeded demand, and the summary as the last line.
pub(crate) fn seeded(seed: u64) {
    let mut skew_ratio: f64 = 0.0;
    let mut moved_ratio: f64 = 0.0;
    for (name, group, experts) in [("today", CURRENT, 64), ("target", TARGET, 256)] {
        for zipf in [0.6, 0.9] {
            let config = demand_config(experts, zipf, seed);
            let ticks = ticks(config, TICKS);
            println!(
                "{name}: {} ranks, {experts} experts, {} slots a rank, Zipf {zipf}, seed {}, {TICKS} ticks of {} s",
                group.ranks,
                group.slots,
                config.seed,
                demand::TICK_S
            );
            let (kivuko, kettle_pond) = table(group, &ticks);
            if name == "target" {
                skew_ratio = skew_ratio.max(kivuko);
                moved_ratio = moved_ratio.max(kettle_pond);
            }
        }
    }
    let decision_ms = decide_ms(TARGET, demand_config(256, 0.9, seed), LAYERS, KIVUKO);
    println!(
        "placement: skew_ratio={skew_ratio:.4} moved_ratio={moved_ratio:.4} decide_ms={decision_ms:.1}"
    );
}

fn demand_config(experts: usize, zipf: f64, seed: u64) -> demand::Config {
    // 20,000 tokens a second with 8 experts each, at 64 ranks.
    let tokens_per_tick = 160_000.0 * demand::TICK_S as f64 * experts as f64 / 256.0;
    demand::Config { experts, zipf, tokens_per_tick, seed }
}

/// Prints one table. Returns the skew over its lower bound with Kivuko's weights, and the moved
/// bytes relative to a full repack with Kettle Pond's weights.
fn table(group: Group, ticks: &[Tick]) -> (f64, f64) {
    println!(
        "  {:<22} {:>6} {:>6} {:>6} {:>6} {:>7} {:>8} {:>9} {:>9} {:>8}",
        "policy", "mean", "p50", "p95", "p99", "spread", "/bound", "moves", "GB", "lost s"
    );
    let fixed = run(Policy::Static, group, ticks);
    let repack = run(Policy::Repack, group, ticks);
    line("static", &fixed);
    line("full repack a minute", &repack);
    let (mut skew_ratio, mut moved_ratio) = (f64::NAN, f64::NAN);
    for weights in CURVE {
        let planned = run(Policy::Planned(weights), group, ticks);
        line(&format!("planned {}:{}", weights.skew, weights.rebalance), &planned);
        let moved = planned.bytes() / repack.bytes();
        let toward_static =
            (planned.skew_mean() - repack.skew_mean()) / (fixed.skew_mean() - repack.skew_mean());
        println!(
            "  {:<22} moved {moved:.4} of full repack's; {:.1}% of the way to static; cost {:.0} \
             (static {:.0}, repack {:.0})",
            "",
            toward_static * 100.0,
            planned.cost(weights),
            fixed.cost(weights),
            repack.cost(weights)
        );
        if weights.skew == KIVUKO.skew && weights.rebalance == KIVUKO.rebalance {
            skew_ratio = planned.ratio();
        }
        if weights.rebalance == KETTLE_POND.rebalance && weights.skew == KETTLE_POND.skew {
            moved_ratio = moved;
        }
    }
    (skew_ratio, moved_ratio)
}

fn line(name: &str, outcome: &Outcome) {
    println!(
        "  {name:<22} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>7.3} {:>8.4} {:>9} {:>9.1} {:>8.1}",
        outcome.skew_mean(),
        quantile(&outcome.skews, 0.5),
        quantile(&outcome.skews, 0.95),
        quantile(&outcome.skews, 0.99),
        outcome.spreads.iter().sum::<f64>() / outcome.spreads.len() as f64,
        outcome.ratio(),
        outcome.moves,
        outcome.bytes() / 1e9,
        outcome.lost_ms() / 1e3,
    );
}

/// Runs every policy on recorded counts, which arrive one tick late.
pub(crate) fn recorded(file: &Path, flags: &Placement) -> Result<()> {
    let rows = counts::read(file)?;
    let experts = rows[0].tokens.len();
    let ranks = flags.ranks.unwrap_or(16);
    let slots = flags.slots.unwrap_or(experts.div_ceil(ranks) + 1);
    ensure!(
        ranks > 0 && ranks * slots >= experts,
        "--ranks {ranks} --slots {slots}: too few for {experts} experts"
    );
    ensure!(slots <= experts, "--slots {slots}: more than the {experts} experts");
    let group = Group { ranks, slots };
    let weights = Weights {
        skew: flags.weight_skew.unwrap_or(1.0),
        rebalance: flags.weight_cost.unwrap_or(1.0),
    };
    ensure!(weights.skew > 0.0, "--weight-skew {}: must be above 0", weights.skew);
    ensure!(weights.rebalance >= 0.0, "--weight-cost {}: must not be below 0", weights.rebalance);
    let mut late = None;
    let ticks: Vec<Tick> = rows
        .into_iter()
        .map(|row| Tick { late_counts: late.replace(row.tokens.clone()), tokens: row.tokens })
        .collect();
    let policies = [
        ("static", Policy::Static),
        ("full-repack", Policy::Repack),
        ("planned", Policy::Planned(weights)),
    ];
    for (name, policy) in policies {
        let outcome = run(policy, group, &ticks);
        if flags.json {
            println!("{}", json_line(name, &outcome));
        } else {
            line(name, &outcome);
        }
    }
    Ok(())
}

fn json_line(name: &str, outcome: &Outcome) -> serde_json::Value {
    json!({
        "policy": name,
        "skew_mean": outcome.skew_mean(),
        "skew_p95": quantile(&outcome.skews, 0.95),
        "bound_mean": outcome.bound_mean(),
        "moves": outcome.moves,
        "bytes": outcome.bytes(),
    })
}
