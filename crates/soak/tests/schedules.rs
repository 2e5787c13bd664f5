//! Guards against failing seeds that cannot be repeated or reduced. A seed must always draw the
//! same faults, shrinking must keep the faults that cause the failure, and names must select the
//! faults.

use std::time::Duration;

use hooktrestle_soak::crash_shapes;
use hooktrestle_soak::crash_shapes::CrashShape;
use hooktrestle_soak::schedule::FAULT_FREE_END;
use hooktrestle_soak::schedule::FAULT_KINDS;
use hooktrestle_soak::schedule::Fault;
use hooktrestle_soak::schedule::FaultKind;
use hooktrestle_soak::schedule::draw;
use hooktrestle_soak::shrink::shrink;

const LENGTH: Duration = Duration::from_secs(200);

#[test]
fn a_seed_draws_the_same_faults_and_ends_without_faults() {
    let kinds = FAULT_KINDS.map(|(_, kind)| kind);
    let mut seen = Vec::new();
    for seed in 0..20 {
        let faults = draw(seed, LENGTH, &kinds);
        assert_eq!(faults, draw(seed, LENGTH, &kinds));
        let ends = faults.iter().map(|fault| fault.at + fault.duration);
        assert!(ends.max().unwrap() <= LENGTH - FAULT_FREE_END);
        seen.extend(faults.iter().map(|fault| fault.kind));
    }
    assert!(kinds.iter().all(|kind| seen.contains(kind)));
    let only = draw(1, LENGTH, &[FaultKind::Kill]);
    assert!(only.iter().all(|fault| fault.kind == FaultKind::Kill));
    assert!(draw(1, LENGTH, &[]).is_empty());
}

/// Guards against seeds that draw other faults once a kind of fault is added: one that failed could not
/// be repeated. Planned ends, releases in lock step and repeated stops are drawn apart.
#[test]
fn kinds_that_are_drawn_apart_leave_the_other_faults_of_a_seed() {
    let apart = [FaultKind::ServerEnds, FaultKind::LockStepRelease, FaultKind::StopAgain];
    let all = FAULT_KINDS.map(|(_, kind)| kind);
    let others: Vec<FaultKind> = all.into_iter().filter(|kind| !apart.contains(kind)).collect();
    for seed in 0..20 {
        let mut faults = draw(seed, LENGTH, &all);
        assert!(apart.iter().all(|kind| faults.iter().any(|fault| fault.kind == *kind)), "{seed}");
        faults.retain(|fault| !apart.contains(&fault.kind));
        assert_eq!(faults, draw(seed, LENGTH, &others), "{seed}");
    }
}

#[test]
fn a_failing_schedule_is_shrunk_to_the_faults_it_needs() {
    let all = draw(3, LENGTH, &FAULT_KINDS.map(|(_, kind)| kind));
    let needed = [all[4], all[11]];
    let remaining = shrink(&all, 1_000, |subset| needed.iter().all(|one| subset.contains(one)));
    assert_eq!(remaining, needed);
    assert_eq!(shrink(&all, 0, |_| true), all, "no attempts are left");
}

#[test]
fn printed_faults_can_be_played_again() {
    for fault in draw(5, LENGTH, &FAULT_KINDS.map(|(_, kind)| kind)) {
        let printed = fault.to_string();
        assert_eq!(printed.parse::<Fault>().unwrap().to_string(), printed);
    }
    for text in ["", "1.00 s kill 3", "-1 s kill 3 for 1.00 s", "1.00 s flood 3 for 1.00 s"] {
        assert!(text.parse::<Fault>().is_err(), "{text}");
    }
}

/// Guards against a shape of parts that crash servers which no run plays.
#[test]
fn all_shapes_of_crashing_parts_are_drawn() {
    let mut drawn: Vec<&str> = Vec::new();
    for seed in 0..20 {
        drawn.extend(CrashShape::draw(seed).labels);
        drawn.push(crash_shapes::draw_group_size(seed, 10).0);
    }
    let missing: Vec<&str> =
        crash_shapes::labels().filter(|label| !drawn.contains(label)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn faults_are_chosen_by_name() {
    for (name, kind) in FAULT_KINDS {
        assert_eq!(name.parse(), Ok(kind));
        assert_eq!(kind.to_string(), name);
    }
    let error = "flood".parse::<FaultKind>().unwrap_err();
    assert!(error.contains("`flood` is not a fault; the faults are kill, off,"), "{error}");
}
