//! Tests of expert placement plans for one set.
//!
//! They guard against a plan that is worse than that of a search which evaluates every rank for
//! each change, and against a group size that the planner cannot handle.

use hooktrestle_core::direct::expert_layout;
use hooktrestle_core::direct::expert_plan;
use hooktrestle_core::direct::expert_plan::Limits;
use hooktrestle_core::direct::holders::Holders;
use hooktrestle_core::direct::holders::Rank;
use hooktrestle_core::direct::serving::ExpertShape;
use proptest::collection::vec;
use proptest::prelude::*;

/// The norm that a plan minimises, relative to the mean load.
fn norm(holders: &[Holders], shares: &[f64], paces: &[f64]) -> f64 {
    let total_speed: f64 = paces.iter().map(|pace| 1.0 / pace).sum();
    let mean = shares.iter().sum::<f64>() / total_speed;
    let loads = expert_plan::loads(holders, shares, paces);
    loads.iter().map(|load| (load / mean).powi(8)).sum::<f64>().powf(1.0 / 8.0)
}

/// Every placement that one change reaches. The changes are of the same kinds as in the planner,
/// found by trying all pairs.
fn changes(current: &[Holders], shares: &[f64], limits: &Limits) -> Vec<Vec<Holders>> {
    let loads = expert_plan::loads(current, shares, &limits.paces);
    let total_speed: f64 = limits.paces.iter().map(|pace| 1.0 / pace).sum();
    let mean = shares.iter().sum::<f64>() / total_speed;
    let slowest = (0..loads.len()).max_by(|a, b| loads[*a].total_cmp(&loads[*b])).expect("ranks");
    let (from, mut found) = (slowest as Rank, Vec::new());
    let with = |edits: &[(usize, Option<Rank>, Option<Rank>)]| {
        let mut next = current.to_vec();
        for (expert, gains, loses) in edits {
            gains.iter().for_each(|rank| next[*expert].insert(*rank));
            loses.iter().for_each(|rank| next[*expert].remove(*rank));
        }
        next
    };
    for expert in 0..current.len() {
        if !current[expert].contains(from) || shares[expert] <= 0.0 {
            continue;
        }
        found.push(with(&[(expert, None, Some(from))]));
        for (target, load) in loads.iter().enumerate() {
            let to = target as Rank;
            if current[expert].contains(to) || *load >= mean {
                continue;
            }
            let (added, moved) = ((expert, Some(to), None), (expert, Some(to), Some(from)));
            // No expert needs to be removed from a rank that has free places.
            if current.iter().filter(|one| one.contains(to)).count() < limits.places {
                found.extend([with(&[added]), with(&[moved])]);
                continue;
            }
            for other in (0..current.len()).filter(|other| *other != expert) {
                if !current[other].contains(to) {
                    continue;
                }
                let gone = (other, None, Some(to));
                found.extend([with(&[added, gone]), with(&[moved, gone])]);
                if !current[other].contains(from) && shares[other] < shares[expert] {
                    found.push(with(&[moved, (other, Some(from), Some(to))]));
                }
            }
        }
    }
    found
}

/// Whether a placement is within the limits of a plan that starts from `start`.
fn is_within_limits(start: &[Holders], next: &[Holders], limits: &Limits) -> bool {
    let ranks = limits.paces.len();
    let held = |rank: usize| next.iter().filter(|one| one.contains(rank as Rank)).count();
    let new = expert_plan::new_experts(start, next, ranks);
    next.iter().all(|holders| !holders.is_empty())
        && (0..ranks).all(|rank| held(rank) <= limits.places)
        && new.iter().zip(&limits.max_new_experts).all(|(new, limit)| new <= limit)
}

/// Reference search: it applies each change to a copy of the placement and recomputes all values.
fn reference_plan(start: &[Holders], shares: &[f64], limits: &Limits) -> Vec<Holders> {
    let ranks = limits.paces.len();
    let copies = |from: &[Holders], to: &[Holders]| {
        // A copy to a rank that held the expert at the start costs nothing.
        let gained = |(index, (old, new)): (usize, (&Holders, &Holders))| {
            let is_copy = |rank: &Rank| !old.contains(*rank) && !start[index].contains(*rank);
            new.iter().filter(is_copy).count()
        };
        from.iter().zip(to).enumerate().map(gained).sum::<usize>()
    };
    // A rank with the maximum number of new experts gets no other, not even in exchange for one.
    let has_room = |from: &[Holders], to: &[Holders]| {
        let new = expert_plan::new_experts(start, from, ranks);
        let gains = |rank: usize| {
            let rank = rank as Rank;
            let is_gain = |(index, (old, new)): (usize, (&Holders, &Holders))| {
                new.contains(rank) && !old.contains(rank) && !start[index].contains(rank)
            };
            from.iter().zip(to).enumerate().any(is_gain)
        };
        (0..ranks).all(|rank| new[rank] < limits.max_new_experts[rank] || !gains(rank))
    };
    let mut current = start.to_vec();
    for _ in 0..2 * limits.max_new_experts.iter().sum::<usize>() + ranks {
        let before = norm(&current, shares, &limits.paces);
        let mut best: Option<(f64, Vec<Holders>)> = None;
        for next in changes(&current, shares, limits) {
            if !is_within_limits(start, &next, limits) || !has_room(&current, &next) {
                continue;
            }
            let copies = copies(&current, &next);
            let gain =
                before - norm(&next, shares, &limits.paces) - limits.copy_cost * copies as f64;
            let rate = gain / copies.max(1) as f64;
            if gain > 1e-6 && best.as_ref().is_none_or(|(known, _)| rate > *known) {
                best = Some((rate, next));
            }
        }
        let Some((_, next)) = best else { break };
        current = next;
    }
    current
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// A search that evaluates only the ranks affected by a change is as good as one that evaluates
    /// all ranks.
    #[test]
    fn plans_are_as_good_as_those_of_the_reference_search(
        shares in vec(0.01f64..1.0, 14),
        hot in 0usize..14,
        paces in vec(0.8f64..2.0, 5),
        new_at in 0usize..3,
        places in 3usize..6,
    ) {
        let mut shares = shares;
        shares[hot] += 4.0;
        let limits = Limits { places, max_new_experts: vec![new_at; 5], copy_cost: 0.02, paces };
        let start = expert_plan::round_robin(14, 5);
        let fast = expert_plan::plan(&start, &shares, &limits);
        let slow = reference_plan(&start, &shares, &limits);
        prop_assert!(is_within_limits(&start, &fast, &limits));
        let [fast, slow] = [fast, slow].map(|found| norm(&found, &shares, &limits.paces));
        prop_assert!((fast - slow).abs() < 1e-6, "{fast} and {slow}");
    }
}

/// Two sets, each with twice as many experts as ranks.
fn shape(ranks: usize) -> ExpertShape {
    ExpertShape {
        sets: 2,
        experts: 2 * ranks,
        places: 3,
        spare: 2,
        expert_mb: 210.0,
        link_mbps: 92_000.0,
    }
}

/// For groups of any size, a layout is the same after conversion to the experts of each rank and
/// back, and a hot expert of the last rank is spread over more ranks.
#[test]
fn groups_of_any_size_get_convertible_layouts_that_spread_hot_experts() {
    for ranks in [1, 8, 12, 24, 63, 64, 65, 96, 128, 256, 1_000] {
        let shape = shape(ranks);
        let first = expert_layout::first(&shape, ranks);
        let by_rank = expert_layout::by_rank(&first, ranks);
        assert!(by_rank[0].iter().all(|held| held.len() == 2), "{ranks} ranks hold two each");
        let reported: Vec<Vec<Vec<u16>>> =
            (0..ranks).map(|rank| by_rank.iter().map(|set| set[rank].clone()).collect()).collect();
        assert_eq!(
            expert_layout::from_ranks(&shape, &reported),
            Some(first.clone()),
            "{ranks} ranks"
        );
        let mut shares = vec![1.0; shape.experts];
        shares[ranks - 1] = 20.0;
        let limits = Limits {
            places: shape.places,
            max_new_experts: vec![shape.spare; ranks],
            copy_cost: 0.03,
            paces: vec![1.0; ranks],
        };
        let after = expert_plan::plan(&first[0], &shares, &limits);
        let [before, after] =
            [&first[0], &after].map(|held| expert_plan::skew(held, &shares, &limits.paces));
        assert!(ranks == 1 || after < 0.7 * before, "{ranks} ranks: {after} after {before}");
    }
}

#[test]
fn a_rank_that_reports_an_unknown_expert_gives_no_layout() {
    let shape = shape(2);
    assert_eq!(expert_layout::from_ranks(&shape, &[vec![vec![0, 4]]]), None);
}
