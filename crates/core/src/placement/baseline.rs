//! What placement is measured against.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::placement::layout::Expert;
use crate::placement::layout::Layout;

/// Replicas for each expert that make the hottest replica as cool as possible.
pub fn replicas(shares: &[f64], ranks: usize, slots_per_rank: usize) -> Vec<u16> {
    let mut counts = vec![1_u16; shares.len()];
    let spare = ranks * slots_per_rank - shares.len();
    let mut heap: BinaryHeap<(Ordered, usize)> =
        shares.iter().enumerate().map(|(expert, share)| (Ordered(*share), expert)).collect();
    let mut left = spare;
    while left > 0 {
        let Some((_, expert)) = heap.pop() else { break };
        // One that stands on every rank is out of the running, and uses up no slot.
        if usize::from(counts[expert]) < ranks {
            counts[expert] += 1;
            left -= 1;
            let each = shares[expert] / f64::from(counts[expert]);
            heap.push((Ordered(each), expert));
        }
    }
    counts
}

/// Packs everything anew: replicas as above, then longest processing time first.
///
/// # Panics
///
/// As [`Layout::round_robin`].
pub fn pack(shares: &[f64], ranks: usize, slots_per_rank: usize) -> Layout {
    let counts = replicas(shares, ranks, slots_per_rank);
    let mut items: Vec<(Ordered, usize)> = Vec::with_capacity(ranks * slots_per_rank);
    for (expert, count) in counts.iter().enumerate() {
        let each = Ordered(shares[expert] / f64::from(*count));
        items.extend(std::iter::repeat_n((each, expert), usize::from(*count)));
    }
    items.sort_by_key(|(each, expert)| (Reverse(*each), *expert));
    let mut columns: Vec<Vec<Expert>> = vec![Vec::new(); ranks];
    let mut loads: Vec<f64> = vec![0.0; ranks];
    for (each, expert) in items {
        let expert = Expert(expert as u16);
        let open = (0..ranks).filter(|rank| columns[*rank].len() < slots_per_rank);
        let fitting = open.filter(|rank| !columns[*rank].contains(&expert));
        let coolest = fitting.min_by(|a, b| loads[*a].total_cmp(&loads[*b]));
        match coolest {
            Some(rank) => {
                columns[rank].push(expert);
                loads[rank] += each.0;
            }
            None => make_room(&mut columns, slots_per_rank, expert),
        }
    }
    Layout::from_ranks(shares.len(), &columns)
}

/// Only ranks that have the expert already have open slots: a rank that has not gives one of its
/// experts away to them.
fn make_room(columns: &mut [Vec<Expert>], slots_per_rank: usize, expert: Expert) {
    let open = (0..columns.len()).find(|rank| columns[*rank].len() < slots_per_rank);
    let open = open.expect("as many slots as replicas");
    for rank in 0..columns.len() {
        if columns[rank].contains(&expert) {
            continue;
        }
        let given = columns[rank].iter().position(|other| !columns[open].contains(other));
        if let Some(slot) = given {
            let other = std::mem::replace(&mut columns[rank][slot], expert);
            columns[open].push(other);
            return;
        }
    }
    unreachable!("some rank can make room: no expert has more replicas than there are ranks");
}

/// A share in a heap; shares are never NaN.
#[derive(Clone, Copy, Debug)]
struct Ordered(f64);

impl PartialEq for Ordered {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Ordered {}

impl PartialOrd for Ordered {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ordered {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}
