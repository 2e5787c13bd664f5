//! Tests of a store that is restored from an older copy of itself, which begins a new era. Its
//! counter goes back then, and rows are lost. The tests guard against replicas that mix revisions
//! of two eras, fencing tokens that are granted twice, and lost rows that are dropped too early or
//! held for ever.

mod support;

use std::collections::BTreeMap;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::fencing::next_token;
use hooktrestle_core::direct::replica::Change;
use hooktrestle_core::direct::replica::LostRow;
use hooktrestle_core::direct::replica::Replica;
use hooktrestle_core::direct::replica::Revision;
use hooktrestle_core::direct::replica::Update;
use hooktrestle_core::direct::unconfirmed::Holds;
use hooktrestle_core::direct::unconfirmed::Unconfirmed;
use proptest::collection::vec;
use proptest::prelude::*;
use support::seeded;

/// One table of a store, with the list of all changes of each era: a simple reference model.
#[derive(Clone, Default)]
struct History(Vec<Vec<Change>>);

impl History {
    fn begin(changes: Vec<Change>) -> History {
        History(vec![changes])
    }

    fn newest(&self) -> Revision {
        let era = self.0.len() as u64 - 1;
        Revision { era, count: self.0[era as usize].len() as u64 }
    }

    fn write(&mut self, key: u8, value: Option<u8>) {
        let changes = self.0.last_mut().expect("there is an era");
        let (key, value) = (key.to_string(), value.map(|value| value.to_string()));
        changes.push(Change { key, revision: changes.len() as u64 + 1, value });
    }

    /// Restores the store without its newest changes.
    fn restore(&mut self, lost: usize) {
        let mut copy = self.0.last().expect("there is an era").clone();
        copy.truncate(copy.len().saturating_sub(lost));
        self.0.push(copy);
    }

    fn rows(&self, revision: Revision) -> BTreeMap<String, String> {
        let changes = &self.0[revision.era as usize][..revision.count as usize];
        let mut rows = BTreeMap::new();
        for change in changes {
            match &change.value {
                Some(value) => rows.insert(change.key.clone(), value.clone()),
                None => rows.remove(&change.key),
            };
        }
        rows
    }

    fn whole(&self, revision: Revision) -> Update {
        let changes = &self.0[revision.era as usize][..revision.count as usize];
        let newest = |key: &String| changes.iter().rev().find(|change| change.key == *key).cloned();
        let changes = self.rows(revision).keys().filter_map(newest).collect();
        Update { revision, whole: true, changes }
    }

    /// The answer of a call that waits for changes; `None` if the store does not have the requested
    /// revision.
    fn since(&self, from: Revision, to: Revision) -> Option<Update> {
        let is_known = from.era == to.era && from.count > 0 && from.count <= to.count;
        let changes = &self.0[to.era as usize];
        is_known.then(|| {
            let changes = changes[from.count as usize..to.count as usize].to_vec();
            Update { revision: to, whole: false, changes }
        })
    }
}

fn rows(replica: &Replica) -> BTreeMap<String, String> {
    replica.rows().map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

#[derive(Clone, Debug)]
enum Step {
    Write(u8, Option<u8>),
    Restore(usize),
    /// A gateway reads the complete table, as it was some changes and eras ago.
    Read(usize, u64, u64),
    /// A gateway receives what changed from the store.
    Follow(usize),
    /// A gateway receives what it lacks from another one.
    Gossip(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..6, proptest::option::of(0u8..4)).prop_map(|(key, value)| Step::Write(key, value)),
        1 => (0usize..12).prop_map(Step::Restore),
        2 => (0usize..3, 0u64..4, 0u64..2).prop_map(|(gateway, late, eras)| Step::Read(gateway, late, eras)),
        3 => (0usize..3).prop_map(Step::Follow),
        3 => (0usize..3, 0usize..3).prop_map(|(from, to)| Step::Gossip(from, to)),
    ]
}

proptest! {
    #![proptest_config(seeded(600, "tests/eras.regressions"))]

    /// Guards against revisions of one era that are compared with those of another. Each replica
    /// holds exactly the store's rows at its revision, whatever arrives late, and never goes back.
    #[test]
    fn replicas_equal_the_store_at_their_revision_in_every_era(steps in vec(step(), 1..120)) {
        let mut history = History::begin(Vec::new());
        history.write(0, Some(0));
        let mut replicas = [Replica::default(), Replica::default(), Replica::default()];
        for step in steps {
            let before = replicas.each_ref().map(Replica::revision);
            match step {
                Step::Write(key, value) => history.write(key, value),
                Step::Restore(lost) => {
                    history.restore(lost);
                    history.write(0, Some(0));
                }
                Step::Read(gateway, late, eras) => {
                    let newest = history.newest();
                    let era = newest.era.saturating_sub(eras);
                    let all = history.0[era as usize].len() as u64;
                    let revision = Revision { era, count: all.saturating_sub(late).max(1) };
                    replicas[gateway].apply(&history.whole(revision));
                }
                Step::Follow(gateway) => {
                    if let Some(update) = history.since(before[gateway], history.newest()) {
                        replicas[gateway].apply(&update);
                    }
                }
                Step::Gossip(from, to) => {
                    if let Some(update) = replicas[from].since(before[to]) {
                        replicas[to].apply(&update);
                    }
                }
            }
            for (replica, before) in replicas.iter().zip(before) {
                prop_assert!(replica.revision() >= before);
                if replica.revision() > Revision::default() {
                    prop_assert_eq!(rows(replica), history.rows(replica.revision()));
                }
            }
        }
    }

    /// Guards against a token that is granted twice: by claims of several eras, each from a row
    /// that may be lost, by claimants that know no earlier token.
    #[test]
    fn fencing_tokens_increase_with_each_claim_even_if_the_store_loses_rows(
        claims in vec((proptest::bool::weighted(0.3), 0usize..4), 1..60),
    ) {
        let (mut era, mut rows, mut highest) = (0, vec![0], 0);
        for (is_restored, lost) in claims {
            if is_restored {
                era += 1;
                rows.truncate(rows.len().saturating_sub(lost).max(1));
            }
            let token = next_token(era, *rows.last().expect("the first is never lost"));
            prop_assert!(token > highest, "{token} after {highest}");
            (highest, rows) = (token, [rows, vec![token]].concat());
        }
    }
}

fn row(key: &str, revision: u64, value: Option<&str>) -> Change {
    Change { key: key.to_owned(), revision, value: value.map(str::to_owned) }
}

fn lost(key: &str, value: Option<&str>) -> LostRow {
    LostRow { key: key.to_owned(), value: value.map(str::to_owned) }
}

/// Guards against known values of rows that are dropped when an era begins, and against values that
/// are held for ever.
#[test]
fn rows_lost_in_a_new_era_are_held_until_rewritten_or_expired() {
    let mut replica = Replica::default();
    let changes = vec![
        row("same", 2, Some("ready")),
        row("left", 7, Some("leaving")),
        row("gone", 8, None),
        row("came", 9, Some("ready")),
    ];
    replica.apply(&Update { revision: 9.into(), whole: true, changes });
    replica.apply(&Update {
        revision: 10.into(),
        whole: false,
        changes: vec![row("gone", 10, None)],
    });
    let copy = |count| {
        let listed = ["same", "left", "gone"].map(|key| row(key, 2, Some("ready")));
        Update { revision: Revision { era: 1, count }, whole: true, changes: listed.to_vec() }
    };
    let applied = replica.apply(&copy(5));
    let expected =
        vec![lost("came", Some("ready")), lost("gone", None), lost("left", Some("leaving"))];
    assert_eq!(applied.lost, expected);
    let mut held = Unconfirmed::new(Holds::SERVERS);
    let begin = Millis(1_000);
    held.begin(applied.lost, &replica, begin);
    let values = |held: &Unconfirmed, replica: &Replica| {
        ["same", "left", "gone", "came"].map(|key| held.value(key, replica).map(str::to_owned))
    };
    let known =
        [Some("ready"), Some("leaving"), None, Some("ready")].map(|it| it.map(str::to_owned));
    assert_eq!(values(&held, &replica), known);
    assert!(held.settle(&replica, begin + Millis(1_900)).is_empty());
    // The store is restored a second time: held rows stay held, for as long again.
    let second = Update { revision: Revision { era: 2, count: 4 }, ..copy(0) };
    let applied = replica.apply(&second);
    held.begin(applied.lost, &replica, begin + Millis(1_900));
    assert_eq!(values(&held, &replica), known);
    // Two rows are written again, and one is not and lapses.
    let again = Update {
        revision: Revision { era: 2, count: 6 },
        whole: false,
        changes: vec![row("left", 5, Some("leaving")), row("gone", 6, None)],
    };
    replica.apply(&again);
    assert_eq!(held.settle(&replica, begin + Millis(2_000)), ["gone", "left"]);
    assert_eq!(held.settle(&replica, begin + Millis(3_900)), ["came"]);
    assert!(held.is_empty());
    let settled = [Some("ready"), Some("leaving"), None, None].map(|it| it.map(str::to_owned));
    assert_eq!(values(&held, &replica), settled);
}
