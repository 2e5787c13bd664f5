//! Troubles are the same for a seed, and a failing seed is shrunk to what makes it fail.

use std::time::Duration;

use hooktrestle_soak::schedule::CALM_END;
use hooktrestle_soak::schedule::KINDS;
use hooktrestle_soak::schedule::Kind;
use hooktrestle_soak::schedule::draw;
use hooktrestle_soak::shrink::shrink;

const LENGTH: Duration = Duration::from_secs(200);

#[test]
fn a_seed_draws_the_same_troubles_of_all_kinds_and_ends_in_calm() {
    let kinds = KINDS.map(|(_, kind)| kind);
    let mut seen = Vec::new();
    for seed in 0..20 {
        let troubles = draw(seed, LENGTH, &kinds);
        assert_eq!(troubles, draw(seed, LENGTH, &kinds));
        let ends = troubles.iter().map(|trouble| trouble.at + trouble.lasts);
        assert!(ends.max().unwrap() <= LENGTH - CALM_END);
        seen.extend(troubles.iter().map(|trouble| trouble.kind));
    }
    assert!(kinds.iter().all(|kind| seen.contains(kind)));
    let only = draw(1, LENGTH, &[Kind::Kill]);
    assert!(only.iter().all(|trouble| trouble.kind == Kind::Kill));
    assert!(draw(1, LENGTH, &[]).is_empty());
}

#[test]
fn a_failing_seed_is_shrunk_to_what_makes_it_fail() {
    let all = draw(3, LENGTH, &KINDS.map(|(_, kind)| kind));
    let needed = [all[4], all[11]];
    let left = shrink(&all, 1_000, |some| needed.iter().all(|one| some.contains(one)));
    assert_eq!(left, needed);
    assert_eq!(shrink(&all, 0, |_| true), all, "no tries are left");
}

#[test]
fn faults_are_chosen_by_name() {
    for (name, kind) in KINDS {
        assert_eq!(name.parse(), Ok(kind));
        assert_eq!(kind.to_string(), name);
    }
    let why = "flood".parse::<Kind>().unwrap_err();
    assert!(why.contains("`flood` is no fault; there are kill, off,"), "{why}");
}
