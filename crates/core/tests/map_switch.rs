//! Tests of map switches: all message orders and crash points of small groups, and long random
//! paths of larger groups.
//!
//! Failure guarded against: two ranks use different maps in the same step, or a group cannot run
//! any further step. Causes are lost, late and repeated messages, failed loads, restarts of
//! sidecars, leaders that compete, and leaders without the store.

mod model;
mod support;

use model::Flaw;
use model::Setup;
use model::World;
use model::walk;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use support::seeded;

const TWO_RANKS: Setup = Setup {
    ranks: 2,
    horizon: 1,
    last_step: 3,
    leases: 2,
    proposals: 1,
    restarts: 0,
    retransmissions: 1,
    late_replies: false,
    keeps_fence: false,
    storeless_terms: 0,
    flaw: Flaw::Nothing,
};

fn assert_safe(setup: Setup) {
    let walk = walk(&setup);
    println!("{setup:?}: {} states", walk.states);
    assert!(walk.split.is_none(), "two maps in one step: {:#?}", walk.split);
    assert!(walk.stuck.is_none(), "no leader can resume the group: {:#?}", walk.stuck);
    assert!(walk.switched, "no path switches the map, so the check is void");
}

fn assert_detected(setup: Setup) {
    let walk = walk(&setup);
    assert!(walk.split.is_some(), "no split in {} states: {setup:?}", walk.states);
}

#[test]
fn the_switch_is_safe_with_two_leaders_and_faulty_messages() {
    assert_safe(TWO_RANKS);
}

#[test]
fn the_switch_is_safe_if_a_sidecar_restarts_and_no_fencing_token_is_stored() {
    assert_safe(Setup { restarts: 1, last_step: 2, ..TWO_RANKS });
}

#[test]
fn the_switch_is_safe_if_ranks_lead_without_the_store() {
    assert_safe(Setup {
        leases: 1,
        storeless_terms: 1,
        keeps_fence: true,
        last_step: 2,
        ..TWO_RANKS
    });
}

#[test]
fn the_switch_is_safe_with_three_ranks_and_one_leader() {
    assert_safe(Setup { ranks: 3, leases: 1, last_step: 2, ..TWO_RANKS });
}

#[test]
fn the_model_detects_a_rank_that_ignores_a_hold() {
    assert_detected(Setup { flaw: Flaw::IgnoresHold, ..TWO_RANKS });
}

#[test]
fn the_model_detects_a_map_pushed_rank_by_rank() {
    assert_detected(Setup { flaw: Flaw::PushesRankByRank, ..TWO_RANKS });
}

#[test]
fn the_model_detects_a_restarted_sidecar_that_guesses_the_fencing_token() {
    assert_detected(Setup { restarts: 1, flaw: Flaw::GuessesFence, last_step: 2, ..TWO_RANKS });
}

/// Follows one random path through the states of a larger group.
fn random_path(setup: &Setup, choices: &[u16]) -> Result<World, String> {
    let mut world = World::new(setup);
    for choice in choices {
        let actions = world.actions(setup);
        if actions.is_empty() {
            break;
        }
        let action = actions[usize::from(*choice) % actions.len()];
        let happened = world.apply(setup, action);
        happened.map_err(|split| format!("{split:?}"))?;
        if !world.recovers(setup) {
            return Err(format!("stuck after {action:?}"));
        }
    }
    Ok(world)
}

proptest! {
    #![proptest_config(seeded(300, "tests/map_switch.regressions"))]

    #[test]
    fn the_switch_is_safe_on_long_random_paths_of_larger_groups(
        choices in proptest::collection::vec(any::<u16>(), 50..400),
        keeps_fence in any::<bool>(),
        ranks in 2_usize..9,
    ) {
        let setup = Setup {
            ranks,
            horizon: 2,
            last_step: 12,
            leases: 4,
            proposals: 4,
            restarts: 3,
            retransmissions: 8,
            late_replies: true,
            keeps_fence,
            storeless_terms: 2,
            flaw: Flaw::Nothing,
        };
        let outcome = random_path(&setup, &choices);
        prop_assert!(outcome.is_ok(), "{:?}", outcome.err());
    }
}
