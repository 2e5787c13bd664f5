//! The fewest troubles with which a run still fails.

use crate::schedule::Trouble;

/// Leaves out ever smaller runs of troubles, as long as what is left `fails`; `tries` bounds how often
/// that is asked.
pub fn shrink(
    troubles: &[Trouble],
    mut tries: usize,
    mut fails: impl FnMut(&[Trouble]) -> bool,
) -> Vec<Trouble> {
    let mut left = troubles.to_vec();
    let mut size = left.len().div_ceil(2);
    while size > 0 && tries > 0 {
        let mut from = 0;
        while from < left.len() && tries > 0 {
            let without: Vec<Trouble> = left
                .iter()
                .enumerate()
                .filter(|(at, _)| !(from..from + size).contains(at))
                .map(|(_, one)| *one)
                .collect();
            tries -= 1;
            if fails(&without) {
                left = without;
            } else {
                from += size;
            }
        }
        size = if size == 1 { 0 } else { size.div_ceil(2) };
    }
    left
}
