//! Tests of the pass length estimate.
//!
//! They guard against a wrong length where a rank reports the same pass again, or where its group
//! restarts and counts passes in a new epoch.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::passes::Passes;
use hooktrestle_core::util::arena::Key;

#[test]
fn the_pass_length_is_the_elapsed_time_per_pass_begun() {
    let mut passes = Passes::default();
    let rank = Key::from_index(0);
    assert_eq!(passes.length(), None);
    passes.record(rank, 1, 100, Millis(1_000));
    passes.record(rank, 1, 102, Millis(1_120));
    assert_eq!(passes.length(), Some(Millis(60)));
    passes.record(rank, 1, 102, Millis(1_240));
    assert_eq!(passes.length(), Some(Millis(60)), "no pass has begun since");
    for report in 1..60 {
        passes.record(rank, 1, 102 + report, Millis(1_120 + 120 * report));
    }
    assert_eq!(passes.length(), Some(Millis(119)));
}

#[test]
fn the_pass_length_estimate_restarts_with_a_new_epoch() {
    let mut passes = Passes::default();
    let rank = Key::from_index(0);
    passes.record(rank, 1, 100, Millis(1_000));
    passes.record(rank, 2, 101, Millis(9_000));
    assert_eq!(passes.length(), None);
    passes.record(rank, 2, 103, Millis(9_100));
    assert_eq!(passes.length(), Some(Millis(50)));
}
