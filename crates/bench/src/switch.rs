//! Measurements of map switches and of configuration changes. Input: a fault or a number of rounds.
//! State: a fleet. Counts the steps that switches hold, and measures the time until a configuration
//! is in force.

use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::ensure;
use hooktrestle_embedded::Fleet;
use hooktrestle_embedded::Intervals;
use hooktrestle_fakes::group::FakeGroup;
use hooktrestle_fakes::group::Steps;
use serde_json::Value;
use serde_json::json;

const RANKS: usize = 16;
const EXPERTS: usize = 64;
const SLOTS: usize = 5;

/// Length of the measurement with each fault.
const MEASUREMENT: Duration = Duration::from_secs(8);

/// Time between two changes of the set of popular experts.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);

/// Fault of a group while its popular experts change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// One rank cannot load weights.
    FailedLoads,
    /// Sidecars, including the leader, are killed one after the other.
    Restarts,
}

/// Runs a group of 16 ranks with a fault; returns its steps.
///
/// # Errors
///
/// The fleet cannot start.
pub async fn measure(fault: Fault) -> Result<Steps> {
    let mut fleet = Fleet::start().await?;
    let group = FakeGroup::start(RANKS, EXPERTS, SLOTS);
    let mut rows = vec![
        ("data_centre:dc-1".to_owned(), json!({ "region": "home" })),
        ("service:model".to_owned(), json!({ "kind": "model", "experts_per_layer": EXPERTS })),
    ];
    for rank in 0..RANKS {
        let name = format!("model-{rank:02}");
        fleet.add_rank(&name, "dc-1", &group, rank).await?;
        let row = json!({ "service": "model", "data_centre": "dc-1", "keeps_fence": true });
        rows.push((format!("backend_server:{name}"), row));
    }
    fleet.add_gateway("entry-1", "dc-1").await?;
    let edits: Vec<(&str, Value)> =
        rows.iter().map(|(key, value)| (key.as_str(), value.clone())).collect();
    fleet.edit(&edits).await?;
    fleet.wait_in_force(|config| config.servers.len() == RANKS).await;
    group.set_fails_loads(3, fault == Fault::FailedLoads);
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < MEASUREMENT {
        let mut shares = [1.0; EXPERTS];
        (0..6).for_each(|step| shares[(round * 7 + step * 11) % EXPERTS] = 8.0);
        let sum: f64 = shares.iter().sum();
        group.set_popularity(shares.iter().map(|share| share / sum).collect());
        if fault == Fault::Restarts {
            let name = format!("model-{:02}", round % RANKS);
            fleet.restart_sidecar(&name, "dc-1").await?;
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
        round += 1;
    }
    let steps = group.watch().borrow().clone();
    Ok(steps)
}

/// Times from an operator's write until it is in force in all of 8 gateways and 16 sidecars, with
/// the default intervals; sorted, in seconds.
///
/// # Errors
///
/// The fleet cannot start.
pub async fn in_force(rounds: u32) -> Result<Vec<f64>> {
    let mut fleet = Fleet::start().await?;
    fleet.intervals = Intervals { poll_ms: 1_500, heartbeat_ms: 2_000 };
    let mut rows = vec![
        ("data_centre:dc-1".to_owned(), json!({ "region": "home" })),
        ("service:model".to_owned(), json!({ "kind": "model" })),
    ];
    for number in 0..8 {
        fleet.add_gateway(&format!("entry-{number}"), "dc-1").await?;
    }
    for number in 0..16 {
        let name = format!("model-{number}");
        fleet.add_engine(&name, "dc-1", hooktrestle_fakes::engine::Behaviour::default()).await?;
        let row = json!({ "service": "model", "data_centre": "dc-1" });
        rows.push((format!("backend_server:{name}"), row));
    }
    let edits: Vec<(&str, Value)> =
        rows.iter().map(|(key, value)| (key.as_str(), value.clone())).collect();
    fleet.edit(&edits).await?;
    fleet.wait_in_force(|config| config.servers.len() == 16).await;
    fleet.wait_linked("model", 16).await;
    let mut times_s = Vec::new();
    for round in 1..=rounds {
        let row = json!({ "service": "model", "data_centre": "dc-1", "weight": round });
        let start = Instant::now();
        fleet.edit(&[("backend_server:model-0", row)]).await?;
        let reached = fleet.wait_in_force(|config| {
            config.server("model-0").is_some_and(|key| config.servers[key].row.weight == round)
        });
        ensure!(
            tokio::time::timeout(Duration::from_secs(60), reached).await.is_ok(),
            "the write is not in force within 60 s"
        );
        times_s.push(start.elapsed().as_secs_f64());
    }
    times_s.sort_by(f64::total_cmp);
    Ok(times_s)
}
