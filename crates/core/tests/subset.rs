//! Subsets of instances for links: even, mostly local and stable.
//!
//! Guards against servers that get too many or too few gateways, subsets that change for instances
//! that were not affected, and subsets without any instance of another data centre.

use hooktrestle_core::subset;
use hooktrestle_core::subset::Instance;

const GATEWAYS: usize = 360;
const SERVERS: usize = 45;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("server-{number}")).collect()
}

fn instances(names: &[String]) -> Vec<Instance<'_>> {
    names.iter().map(|name| Instance { name, is_local: false }).collect()
}

fn chosen(names: &[String], gateway: usize) -> Vec<String> {
    let instances = instances(names);
    let subset = subset::choose(&format!("gateway-{gateway}"), &instances, 16);
    subset.into_iter().map(|index| names[index].clone()).collect()
}

#[test]
fn servers_get_nearly_the_same_number_of_gateways() {
    let names = names(SERVERS);
    let mut counts = vec![0_usize; SERVERS];
    for gateway in 0..GATEWAYS {
        for index in subset::choose(&format!("gateway-{gateway}"), &instances(&names), 16) {
            counts[index] += 1;
        }
    }
    let mean = GATEWAYS * 16 / SERVERS;
    let (min_count, max_count) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(
        *min_count * 10 > mean * 7 && *max_count * 10 < mean * 13,
        "{min_count} to {max_count} around {mean}"
    );
}

#[test]
fn removing_a_server_changes_only_the_subsets_that_contained_it() {
    let all = names(SERVERS);
    let fewer: Vec<String> = all.iter().filter(|name| *name != "server-7").cloned().collect();
    for gateway in 0..GATEWAYS {
        let (before, after) = (chosen(&all, gateway), chosen(&fewer, gateway));
        let retained = before.iter().filter(|name| after.contains(name)).count();
        let lost = usize::from(before.iter().any(|name| name == "server-7"));
        assert_eq!(retained, before.len() - lost);
    }
}

#[test]
fn subsets_are_mostly_local_and_nearly_all_contain_remote_servers() {
    let names = names(40);
    let mixed: Vec<Instance<'_>> = names
        .iter()
        .enumerate()
        .map(|(index, name)| Instance { name, is_local: index < 20 })
        .collect();
    for gateway in 0..50 {
        let subset = subset::choose(&format!("gateway-{gateway}"), &mixed, 12);
        let local = subset.iter().filter(|index| **index < 20).count();
        assert!(local >= 8, "{local} local of {}", subset.len());
        assert_eq!(subset.len(), 12);
    }
    let remote = (0..50).filter(|gateway| {
        let subset = subset::choose(&format!("gateway-{gateway}"), &mixed, 12);
        subset.iter().any(|index| *index >= 20)
    });
    assert!(remote.count() > 45);
}

#[test]
fn every_server_of_a_small_fleet_is_in_the_subset() {
    let names = names(16);
    assert_eq!(subset::choose("entry-1", &instances(&names), 16).len(), 16);
}
