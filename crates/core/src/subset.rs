//! Who links to whom: a full mesh of gateways and sidecars would not fit a node's share of control.
//!
//! Each gateway keeps links to some of a service's backend servers, and callers of a service are
//! given some of the gateways. Both are chosen by rendezvous hashing, which needs no agreement: an
//! instance that goes or comes changes only the choices that it was or becomes part of. Weighed
//! against it: deterministic subsetting, which is perfectly even but moves many links with each
//! change of the lists, and those lists lag and differ.

use crate::util::hash;

/// Backend servers of one service that a gateway links to.
pub const SERVERS_PER_GATEWAY: usize = 16;

/// Gateways that callers of one service are given.
pub const GATEWAYS_PER_SERVICE: usize = 24;

/// Out of so many chosen servers, one is taken wherever it stands, so that the loss of a data
/// centre leaves links that work.
const ANY_CENTRE_ONE_IN: usize = 3;

/// An instance to choose from.
#[derive(Clone, Copy, Debug)]
pub struct Instance<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether it stands in the chooser's own data centre.
    pub is_local: bool,
}

/// Chooses up to `most` of the instances for `subject`, by index. Most of them are near, if there
/// are enough near ones; all are taken if there are no more than `most`.
pub fn choose(subject: &str, instances: &[Instance<'_>], most: usize) -> Vec<usize> {
    if instances.len() <= most {
        return (0..instances.len()).collect();
    }
    let subject = hash::of(subject);
    let mut ranked: Vec<(u64, usize)> = instances
        .iter()
        .enumerate()
        .map(|(index, instance)| (hash::score(subject, instance.name), index))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let near_wanted = most - most / ANY_CENTRE_ONE_IN;
    let near = ranked.iter().filter(|(_, index)| instances[*index].is_local);
    let mut chosen: Vec<usize> = near.take(near_wanted).map(|(_, index)| *index).collect();
    for (_, index) in ranked {
        if chosen.len() == most {
            break;
        }
        if !chosen.contains(&index) {
            chosen.push(index);
        }
    }
    chosen
}
