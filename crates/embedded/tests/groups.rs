//! A group of ranks in lock-step whose expert map the sidecars switch.
//!
//! Guards against a step in which two ranks use different maps or an expert is on no rank, and
//! against a group that stalls. Popular experts change, while a rank fails to load weights, leaders
//! are killed during a switch, or the store is down. The stand-in ranks check every step.

use hooktrestle_embedded::Fleet;
use hooktrestle_fakes::group::FakeGroup;
use hooktrestle_fakes::group::Steps;
use hooktrestle_fakes::platform::Faults;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

const RANKS: usize = 4;
const EXPERTS: usize = 16;
const SLOTS: usize = 5;

/// Starts four ranks of the service `recap`. The sidecar that gets the lease is their leader.
async fn group() -> (Fleet, FakeGroup) {
    let mut fleet = Fleet::start().await.unwrap();
    let group = FakeGroup::start(RANKS, EXPERTS, SLOTS);
    let mut rows = vec![
        ("data_centre:hall-1".to_owned(), json!({ "region": "new-england" })),
        ("service:recap".to_owned(), json!({ "kind": "model", "experts_per_layer": EXPERTS })),
    ];
    fleet.add_gateway("entry-1", "hall-1").await.unwrap();
    for rank in 0..RANKS {
        let name = format!("recap-{rank}");
        fleet.add_rank(&name, "hall-1", &group, rank).await.unwrap();
        let row = json!({ "service": "recap", "data_centre": "hall-1", "keeps_fence": true });
        rows.push((format!("backend_server:{name}"), row));
    }
    let rows: Vec<(&str, Value)> =
        rows.iter().map(|(key, value)| (key.as_str(), value.clone())).collect();
    fleet.edit(&rows).await.unwrap();
    fleet.wait_in_force(|config| config.servers.len() == RANKS).await;
    (fleet, group)
}

fn hot(experts: &[usize]) -> Vec<f64> {
    let mut shares = [1.0; EXPERTS];
    experts.iter().for_each(|expert| shares[*expert] = 6.0);
    let sum: f64 = shares.iter().sum();
    shares.iter().map(|share| share / sum).collect()
}

/// Load of the slowest rank over the mean, with the maps in use.
fn skew(group: &FakeGroup, shares: &[f64]) -> f64 {
    let columns = group.experts();
    let replicas = |expert: u16| columns.iter().filter(|column| column.contains(&expert)).count();
    let load = |column: &Vec<u16>| -> f64 {
        column.iter().map(|each| shares[usize::from(*each)] / replicas(*each) as f64).sum()
    };
    let loads = columns.iter().map(load);
    loads.fold(0.0, f64::max) * RANKS as f64
}

async fn wait_for(
    steps: &mut watch::Receiver<Steps>,
    reached: impl FnMut(&Steps) -> bool,
) -> Steps {
    steps.wait_for(reached).await.unwrap().clone()
}

/// Waits until the group is balanced for these shares.
async fn wait_balanced(group: &FakeGroup, shares: &[f64]) -> Steps {
    let mut steps = group.watch();
    wait_for(&mut steps, |_| skew(group, shares) < 1.15).await
}

#[tokio::test(flavor = "multi_thread")]
async fn hot_experts_are_balanced_and_every_step_uses_one_map() {
    let (_fleet, group) = group().await;
    for experts in [[0, 4, 8], [1, 2, 3], [5, 10, 15]] {
        let shares = hot(&experts);
        group.set_popularity(shares.clone());
        let steps = wait_balanced(&group, &shares).await;
        assert_eq!(steps.faults, Vec::<String>::new());
        assert!(steps.map_version > 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_load_on_one_rank_aborts_the_map_switch_and_steps_continue() {
    let (_fleet, group) = group().await;
    group.set_fails_loads(2, true);
    group.set_popularity(hot(&[0, 4, 8]));
    let mut steps = group.watch();
    let before = steps.borrow().run;
    let after = wait_for(&mut steps, |steps| steps.run > before + 1_500).await;
    assert_eq!(after.map_version, 0, "a switch that one rank cannot make is aborted");
    assert_eq!(after.faults, Vec::<String>::new());
    group.set_fails_loads(2, false);
    let shares = hot(&[0, 4, 8]);
    let steps = wait_balanced(&group, &shares).await;
    assert_eq!(steps.faults, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn sidecar_restarts_during_a_rebalance_leave_one_map_and_steps_continue() {
    let (mut fleet, group) = group().await;
    for round in 0..6_usize {
        let shares = hot(&[round, (round + 5) % EXPERTS, (round + 9) % EXPERTS]);
        group.set_popularity(shares.clone());
        // All sidecars are restarted in turn, so the leader is among them; each starts without
        // state.
        let name = format!("recap-{}", round % RANKS);
        fleet.restart_sidecar(&name, "hall-1").await.unwrap();
        let steps = wait_balanced(&group, &shares).await;
        assert_eq!(steps.faults, Vec::<String>::new());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_continues_with_one_map_during_a_store_outage() {
    let (fleet, group) = group().await;
    let shares = hot(&[0, 4, 8]);
    group.set_popularity(shares.clone());
    wait_balanced(&group, &shares).await;
    fleet.fake.set_faults(Faults { down: true, ..Faults::default() });
    let mut steps = group.watch();
    group.set_popularity(hot(&[1, 2, 3]));
    let before = steps.borrow().run;
    let during = wait_for(&mut steps, |steps| steps.run > before + 1_500).await;
    assert_eq!(during.faults, Vec::<String>::new());
    fleet.fake.set_faults(Faults::default());
    let shares = hot(&[1, 2, 3]);
    let after = wait_balanced(&group, &shares).await;
    assert_eq!(after.faults, Vec::<String>::new());
}
