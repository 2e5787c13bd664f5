//! The fewest troubles with which a run still fails.

use crate::schedule::Fault;

/// Leaves out ever smaller runs of troubles, as long as what is left `fails`; `tries` bounds how often
/// that is asked.
pub fn shrink(
    faults: &[Fault],
    mut attempts: usize,
    mut fails: impl FnMut(&[Fault]) -> bool,
) -> Vec<Fault> {
    let mut remaining = faults.to_vec();
    let mut size = remaining.len().div_ceil(2);
    while size > 0 && attempts > 0 {
        let mut from = 0;
        while from < remaining.len() && attempts > 0 {
            let without: Vec<Fault> = remaining
                .iter()
                .enumerate()
                .filter(|(at, _)| !(from..from + size).contains(at))
                .map(|(_, fault)| *fault)
                .collect();
            attempts -= 1;
            if fails(&without) {
                remaining = without;
            } else {
                from += size;
            }
        }
        size = if size == 1 { 0 } else { size.div_ceil(2) };
    }
    remaining
}
