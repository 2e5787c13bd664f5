//! Baseline of placement: replica counts and a layout that is packed from scratch.
//! Input: the experts' shares of the tokens, the ranks, and the slots of each rank.
//! No state. Decides the number of replicas of each expert and the rank of each replica.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::placement::layout::Expert;
use crate::placement::layout::Layout;

/// Number of replicas of each expert such that the highest load of a replica is minimal.
pub fn replicas(shares: &[f64], ranks: usize, slots_per_rank: usize) -> Vec<u16> {
    let mut counts = vec![1_u16; shares.len()];
    let spare = ranks * slots_per_rank - shares.len();
    let mut heap: BinaryHeap<(TotalOrder, usize)> =
        shares.iter().enumerate().map(|(expert, share)| (TotalOrder(*share), expert)).collect();
    let mut left = spare;
    while left > 0 {
        let Some((_, expert)) = heap.pop() else { break };
        // An expert with a replica on each rank gets no further one, and uses no slot.
        if usize::from(counts[expert]) < ranks {
            counts[expert] += 1;
            left -= 1;
            let replica_load = shares[expert] / f64::from(counts[expert]);
            heap.push((TotalOrder(replica_load), expert));
        }
    }
    counts
}

/// Packs a layout from scratch: takes the replica counts of [`replicas`], and assigns replicas by
/// longest processing time first.
///
/// # Panics
///
/// As [`Layout::round_robin`].
pub fn pack(shares: &[f64], ranks: usize, slots_per_rank: usize) -> Layout {
    let counts = replicas(shares, ranks, slots_per_rank);
    let mut items: Vec<(TotalOrder, usize)> = Vec::with_capacity(ranks * slots_per_rank);
    for (expert, count) in counts.iter().enumerate() {
        let replica_load = TotalOrder(shares[expert] / f64::from(*count));
        items.extend(std::iter::repeat_n((replica_load, expert), usize::from(*count)));
    }
    items.sort_by_key(|(replica_load, expert)| (Reverse(*replica_load), *expert));
    let mut columns: Vec<Vec<Expert>> = vec![Vec::new(); ranks];
    let mut loads: Vec<f64> = vec![0.0; ranks];
    for (replica_load, expert) in items {
        let expert = Expert(expert as u16);
        let open = (0..ranks).filter(|rank| columns[*rank].len() < slots_per_rank);
        let fitting = open.filter(|rank| !columns[*rank].contains(&expert));
        let coolest = fitting.min_by(|a, b| loads[*a].total_cmp(&loads[*b]));
        match coolest {
            Some(rank) => {
                columns[rank].push(expert);
                loads[rank] += replica_load.0;
            }
            None => make_room(&mut columns, slots_per_rank, expert),
        }
    }
    Layout::from_ranks(shares.len(), &columns)
}

/// Places an expert when only ranks that already have it have open slots: a rank without the expert
/// moves one of its other experts to an open slot.
fn make_room(columns: &mut [Vec<Expert>], slots_per_rank: usize, expert: Expert) {
    let open = (0..columns.len()).find(|rank| columns[*rank].len() < slots_per_rank);
    let open = open.expect("as many slots as replicas");
    for rank in 0..columns.len() {
        if columns[rank].contains(&expert) {
            continue;
        }
        let movable = columns[rank].iter().position(|other| !columns[open].contains(other));
        if let Some(slot) = movable {
            let other = std::mem::replace(&mut columns[rank][slot], expert);
            columns[open].push(other);
            return;
        }
    }
    unreachable!("some rank can make room: no expert has more replicas than there are ranks");
}

/// A share with a total order, for heaps and sorting; shares are never NaN.
#[derive(Clone, Copy, Debug)]
struct TotalOrder(f64);

impl PartialEq for TotalOrder {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for TotalOrder {}

impl PartialOrd for TotalOrder {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TotalOrder {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}
