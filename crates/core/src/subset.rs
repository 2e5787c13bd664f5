//! Selects the subset of instances to which an instance has links.
//! Input: the name of the subject and the list of instances. There is no state.
//! Decides which instances the subject is linked to, by rendezvous hashing.
//!
//! A full mesh of gateways and sidecars would exceed a node's share of control traffic. Each
//! gateway has links to some of a service's backend servers, and callers of a service get some of
//! the gateways. Rendezvous hashing needs no coordination: an instance that is removed or added
//! changes only the subsets that contain it. Deterministic subsetting is perfectly even, but moves
//! many links with each change of the lists, and the lists of the processes lag and differ.

use crate::util::hash;

/// Number of backend servers of one service to which a gateway has links.
pub const SERVERS_PER_GATEWAY: usize = 16;

/// Number of gateways that callers of one service get.
pub const GATEWAYS_PER_SERVICE: usize = 24;

/// One of this many chosen instances is chosen regardless of its data centre, so that working links
/// remain after the loss of a data centre.
const ANY_CENTRE_ONE_IN: usize = 3;

/// An instance to choose from.
#[derive(Clone, Copy, Debug)]
pub struct Instance<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether it is in the same data centre as the subject.
    pub is_local: bool,
}

/// Chooses up to `max` of the instances for `subject`, by index. Most of them are local, if there
/// are enough local ones. All are chosen if there are no more than `max`.
pub fn choose(subject: &str, instances: &[Instance<'_>], max: usize) -> Vec<usize> {
    if instances.len() <= max {
        return (0..instances.len()).collect();
    }
    let subject = hash::of(subject);
    let mut ranked: Vec<(u64, usize)> = instances
        .iter()
        .enumerate()
        .map(|(index, instance)| (hash::score(subject, instance.name), index))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let local_target = max - max / ANY_CENTRE_ONE_IN;
    let local = ranked.iter().filter(|(_, index)| instances[*index].is_local);
    let mut chosen: Vec<usize> = local.take(local_target).map(|(_, index)| *index).collect();
    for (_, index) in ranked {
        if chosen.len() == max {
            break;
        }
        if !chosen.contains(&index) {
            chosen.push(index);
        }
    }
    chosen
}
