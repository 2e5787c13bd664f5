//! Links follow the instance list, also if one gateway replaces another.
//!
//! Guards against a gateway that opens no links although callers get its address: the list changes,
//! but its length does not.

use std::time::Duration;

use hooktrestle_core::subset;
use hooktrestle_embedded::Fleet;
use hooktrestle_fakes::engine::Behaviour;
use hooktrestle_schema::Instance;
use hooktrestle_schema::InstanceRole;
use hooktrestle_schema::InstanceState;
use serde_json::json;

fn is_offered(gateways: &[String]) -> bool {
    let instances: Vec<subset::Instance<'_>> =
        gateways.iter().map(|name| subset::Instance { name, is_local: false }).collect();
    let chosen = subset::choose("hints", &instances, subset::GATEWAYS_PER_SERVICE);
    chosen.into_iter().any(|index| gateways[index] == "entry-1")
}

fn list(fleet: &Fleet, name: &str) {
    fleet.fake.list_instance(Instance {
        name: name.to_owned(),
        data_centre: "dar-1".to_owned(),
        role: InstanceRole::Gateway,
        address: "127.0.0.1:1".to_owned(),
        state: InstanceState::Live,
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_links_once_offered_to_callers_though_the_list_length_is_unchanged() {
    // `entry-1`, and as many gateways with higher scores as callers of a service get.
    let own = || "entry-1".to_owned();
    let higher_scored: Vec<String> = (0..)
        .map(|number| format!("other-{number}"))
        .filter(|name| !scores_higher_than(name))
        .take(subset::GATEWAYS_PER_SERVICE)
        .collect();
    let lower_scored =
        (0..).map(|number| format!("late-{number}")).find(|name| scores_higher_than(name)).unwrap();
    let all: Vec<String> = higher_scored.iter().cloned().chain([own()]).collect();
    assert!(!is_offered(&all));
    let mut fleet = Fleet::start().await.unwrap();
    higher_scored.iter().for_each(|name| list(&fleet, name));
    fleet.add_gateway("entry-1", "dar-1").await.unwrap();
    fleet.add_engine("hints-1", "dar-1", Behaviour::default()).await.unwrap();
    fleet
        .edit(&[
            ("data_centre:dar-1", json!({ "region": "dar" })),
            ("service:hints", json!({ "kind": "model" })),
            ("backend_server:hints-1", json!({ "service": "hints", "data_centre": "dar-1" })),
        ])
        .await
        .unwrap();
    fleet.wait_in_force(|config| config.servers.len() == 1).await;
    list(&fleet, &lower_scored);
    fleet.fake.remove_instance(&higher_scored[0]);
    let linked = fleet.wait_linked("hints", 1);
    tokio::time::timeout(Duration::from_secs(30), linked).await.expect("a link is opened");
}

/// Whether `entry-1` has a higher score than this name for the service `hints`.
fn scores_higher_than(name: &str) -> bool {
    let pair = ["entry-1".to_owned(), name.to_owned()];
    let instances: Vec<subset::Instance<'_>> =
        pair.iter().map(|name| subset::Instance { name, is_local: false }).collect();
    subset::choose("hints", &instances, 1) == [0]
}
