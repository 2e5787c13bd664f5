//! Tests of leases on clocks that differ between processes.
//!
//! Failure guarded against: two processes lead under the same epoch, or epochs decrease. Causes are
//! a holder that stops renewing, and processes that are suspended between reading and writing.

mod support;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::lease::Lease;
use hooktrestle_core::lease::Next;
use hooktrestle_core::lease::ObservedLease;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use support::seeded;

/// A table with one row and conditional writes.
#[derive(Default)]
struct Table {
    row: Option<ObservedLease>,
    version: u64,
}

impl Table {
    fn write(&mut self, if_version: u64, holder: &str, epoch: u64) -> bool {
        let version = self.row.as_ref().map_or(0, |row| row.version);
        if version != if_version {
            return false;
        }
        self.version += 1;
        self.row = Some(ObservedLease { version: self.version, holder: holder.to_owned(), epoch });
        true
    }
}

fn renew(lease: &mut Lease, name: &str, table: &mut Table, now: Millis) -> bool {
    match lease.observe_row(now, table.row.as_ref()) {
        Next::Write { if_version, epoch } if table.write(if_version, name, epoch) => {
            lease.wrote(now, epoch);
            true
        }
        Next::Write { .. } | Next::Wait => false,
    }
}

#[test]
fn a_holder_that_stops_is_replaced_with_a_higher_epoch() {
    let mut table = Table::default();
    let mut a = Lease::new("a".to_owned(), Millis(100));
    let mut b = Lease::new("b".to_owned(), Millis(100));
    assert!(renew(&mut a, "a", &mut table, Millis(0)));
    assert!(!renew(&mut b, "b", &mut table, Millis(5_000)));
    assert!(renew(&mut a, "a", &mut table, Millis(50)));
    assert!(!renew(&mut b, "b", &mut table, Millis(5_099)));
    assert!(!renew(&mut b, "b", &mut table, Millis(5_150)));
    assert!(renew(&mut b, "b", &mut table, Millis(5_200)));
    assert_eq!(b.epoch(Millis(5_250)), Some(2));
    assert_eq!(a.epoch(Millis(149)), Some(1));
    assert_eq!(a.epoch(Millis(150)), None, "lapsed by its own clock");
    assert!(!renew(&mut a, "a", &mut table, Millis(200)), "the lease has another holder");
}

proptest! {
    #![proptest_config(seeded(400, "tests/lease.regressions"))]

    #[test]
    fn lease_epochs_only_increase_and_no_two_holders_share_one(
        turns in proptest::collection::vec((0_usize..3, 0_u64..80, any::<bool>()), 1..200),
    ) {
        let mut table = Table::default();
        let names = ["a", "b", "c"];
        let mut leases: Vec<Lease> =
            names.iter().map(|name| Lease::new((*name).to_owned(), Millis(100))).collect();
        // The clocks differ, and processes are suspended between reading and writing.
        let mut clocks = [Millis(0), Millis(9_000), Millis(77)];
        let mut paused: Vec<Option<(u64, u64, Millis)>> = vec![None; 3];
        let mut holders: Vec<(u64, usize)> = Vec::new();
        for (process, passed, pauses) in turns {
            clocks.iter_mut().for_each(|clock| *clock = *clock + Millis(passed));
            let now = clocks[process];
            let (if_version, epoch, began) = match paused[process].take() {
                Some(write) => write,
                None => match leases[process].observe_row(now, table.row.as_ref()) {
                    Next::Write { if_version, epoch } => (if_version, epoch, now),
                    Next::Wait => continue,
                },
            };
            if pauses {
                paused[process] = Some((if_version, epoch, began));
                continue;
            }
            if table.write(if_version, names[process], epoch) {
                leases[process].wrote(began, epoch);
                let newest = holders.last().copied().unwrap_or((0, process));
                prop_assert!(epoch > newest.0 || (epoch, process) == newest);
                holders.push((epoch, process));
            }
        }
    }
}
