//! Shrinks the faults of a failing run.
//! Input: the faults, and a function that runs a subset of them. State: the remaining faults.
//! Decides which faults can be left out while the run still fails.

use crate::schedule::Fault;

/// Removes blocks of consecutive faults, of decreasing size, as long as the run `fails` with the
/// remaining ones. `attempts` is the maximum number of calls of `fails`.
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
