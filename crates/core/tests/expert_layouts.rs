//! Tests of expert layouts and of the demand estimate from which they are planned.
//!
//! They guard against switches that cost more than they gain, against missed gains where copies are
//! quick, and against an estimate that follows a shift of demand too late.

use hooktrestle_core::direct::expert_demand::Demand;
use hooktrestle_core::direct::expert_layout;
use hooktrestle_core::direct::expert_plan;
use hooktrestle_core::direct::serving::ExpertShape;
use hooktrestle_core::util::arena::Key;

const RANKS: usize = 8;

/// One set of 32 experts, where a copy takes `copy_ms`.
fn shape(copy_ms: f64) -> ExpertShape {
    ExpertShape {
        sets: 1,
        experts: 32,
        places: 6,
        spare: 4,
        expert_mb: copy_ms / 8.0,
        link_mbps: 1_000.0,
    }
}

/// Demand from one counter snapshot; each expert in `hot` is chosen more often by its factor.
fn demand(shape: &ExpertShape, hot: &[(usize, u64)]) -> Demand {
    let mut counts = vec![1_000; shape.experts];
    for (expert, factor) in hot {
        counts[*expert] *= factor;
    }
    let mut demand = Demand::new(shape);
    demand.record(Key::from_index(0), 1, vec![0; shape.experts]);
    demand.record(Key::from_index(0), 1, counts);
    demand
}

#[test]
fn a_layout_switch_makes_more_copies_if_copies_are_quick() {
    // All hot experts are on the first of two ranks: each copy moves an eighth of their load to the
    // other.
    let paces = [1.0; 2];
    let hot: Vec<(usize, u64)> = (0..8).map(|place| (2 * place, 400)).collect();
    let copies = |copy_ms: f64| {
        let shape = ExpertShape { places: 20, ..shape(copy_ms) };
        let before = expert_layout::first(&shape, paces.len());
        let after = expert_layout::plan(&shape, &demand(&shape, &hot), &before, &paces)?;
        expert_plan::new_experts(&before[0], &after.layout[0], paces.len()).into_iter().max()
    };
    // A single slow copy gains less than it costs.
    assert_eq!([400.0, 148.0, 76.0, 40.0].map(copies), [None, Some(1), Some(2), Some(4)]);
}

#[test]
fn a_gain_that_is_worth_quick_copies_is_not_worth_slow_ones() {
    let paces = [1.0; RANKS];
    let planned = |copy_ms: f64| {
        let shape = shape(copy_ms);
        let before = expert_layout::first(&shape, RANKS);
        expert_layout::plan(&shape, &demand(&shape, &[(3, 3)]), &before, &paces)
    };
    assert!(planned(20.0).is_some());
    assert!(planned(400.0).is_none());
}

#[test]
fn a_demand_shift_is_detected_in_the_second_snapshot_after_it() {
    let shape = shape(148.0);
    let mut demand = Demand::new(&shape);
    let rank = Key::from_index(0);
    let mut counts = vec![0; shape.experts];
    let mut now_ms = 0.0;
    let mut read = |hot: usize| {
        counts.iter_mut().for_each(|count| *count += 20);
        counts[hot] += 400;
        now_ms += 120.0;
        demand.decay(now_ms);
        demand.record(rank, 1, counts.clone());
        demand.shares_of_set(0)
    };
    for _ in 0..20 {
        read(5);
    }
    read(9);
    let shares = read(9).expect("enough was counted");
    assert!(shares[9] > shares[5], "{} and {}", shares[9], shares[5]);
}

/// Demand observed on groups of 96 ranks: the hottest expert of a set has four times the mean load
/// of a rank, and half of the experts have less than a quarter of it. Even with 96 copies beyond
/// the first of each expert, the loads of the ranks end far apart if small gains are not worth a
/// copy.
#[test]
fn quick_copies_are_made_for_small_gains_too() {
    let skew_after = |copy_ms: f64| {
        let shape = ExpertShape { experts: 192, places: 3, spare: 2, ..shape(copy_ms) };
        let counts = (0..shape.experts).map(|place| {
            // Experts of similar popularity are far apart in the order of experts.
            let rank = (place * 85 + 31) % shape.experts;
            (4e4 * ((rank + 1) as f64).powf(-0.6)) as u64
        });
        let mut demand = Demand::new(&shape);
        demand.record(Key::from_index(0), 1, vec![0; shape.experts]);
        demand.record(Key::from_index(0), 1, counts.collect());
        let paces = [1.0; 96];
        let before = expert_layout::first(&shape, paces.len());
        let planned = expert_layout::plan(&shape, &demand, &before, &paces);
        planned.expect("the layout is worth a switch").skew_after
    };
    let [quick, slower] = [18.0, 76.0].map(skew_after);
    assert!(quick < 1.35, "{quick}");
    assert!(slower > quick + 0.1, "{slower} and {quick}");
}

/// Guards against plans from a map that the group does not have any more. A server of the group
/// crashes while no switch is under way, and the group restarts with its initial map. If the leader
/// plans from the earlier map, the group keeps the initial map, with a skew of 3.4, for 8 s.
#[test]
fn the_epoch_of_a_group_is_the_newest_reported_by_its_ranks() {
    let shape = shape(40.0);
    let (one, other, other_group) = (Key::from_index(0), Key::from_index(1), Key::from_index(2));
    let mut demand = Demand::new(&shape);
    assert_eq!(demand.epoch_of(&[one, other]), None);
    demand.record(one, 4, vec![0; shape.experts]);
    demand.record(other_group, 9, vec![0; shape.experts]);
    assert_eq!(demand.epoch_of(&[one, other]), Some(4));
    demand.record(other, 5, vec![0; shape.experts]);
    demand.record(one, 4, vec![7; shape.experts]);
    assert_eq!(demand.epoch_of(&[one, other]), Some(5), "one of them reported late");
}
