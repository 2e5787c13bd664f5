//! Accepted configurations are in force in every process, and versions never decrease.
//!
//! Guards against processes that miss a configuration during an outage of the store, that return to
//! an older one after a restart, and against edits that are lost when operators or acceptors run at
//! the same time.

mod common;

use hooktrestle_core::rows::ROW_ERRORS;
use hooktrestle_core::rows::ROWS;
use hooktrestle_embedded::Caller;
use hooktrestle_embedded::Fleet;
use hooktrestle_embedded::Outcome;
use hooktrestle_embedded::caller::finish;
use hooktrestle_fakes::engine::Behaviour;
use hooktrestle_fakes::platform::Faults;
use hooktrestle_schema::RowCheck;
use hooktrestle_schema::RowWrite;
use hooktrestled::acceptor::Accepted;
use hooktrestled::acceptor::Acceptor;
use hooktrestled::gateway::Gateway;
use hooktrestled::sidecar::Sidecar;
use serde_json::json;

use common::KEY;
use common::deployment;

fn versions(fleet: &Fleet) -> Vec<Option<u64>> {
    let gateways = fleet.gateways.values().map(Gateway::config);
    let watches = gateways.chain(fleet.sidecars.values().map(Sidecar::config));
    watches.map(|watch| watch.borrow().as_ref().map(|now| now.config.version)).collect()
}

fn weight(config: &hooktrestle_core::config::Config) -> u32 {
    let server = config.server("hints-1").expect("the row is in force");
    config.servers[server].row.weight
}

fn row(weight: u32) -> serde_json::Value {
    json!({ "service": "hints", "data_centre": "dar-1", "weight": weight })
}

/// The store goes down as soon as an accepted edit is in force at `entry-1`. Processes that have
/// not read the edit by then must receive it from their peers.
#[tokio::test]
async fn an_accepted_edit_reaches_all_processes_though_the_store_goes_down() {
    let fleet = deployment(2).await;
    fleet.edit(&[("backend_server:hints-1", row(7))]).await.unwrap();
    let mut first = fleet.gateways["entry-1"].config();
    first.wait_for(|now| now.as_ref().is_some_and(|now| weight(&now.config) == 7)).await.unwrap();
    fleet.fake.set_faults(Faults { down: true, ..Faults::default() });
    fleet.wait_in_force(|config| weight(config) == 7).await;
    let outcome = Caller::new(&fleet.url("entry-2"), KEY).unwrap();
    let outcome = finish(outcome.chat("hints", "m", 3, true)).await.unwrap();
    assert!(matches!(outcome, Outcome::Whole(_)), "{outcome:?}");
}

#[tokio::test]
async fn a_sidecar_started_in_a_store_outage_runs_nothing_until_it_has_a_configuration() {
    let mut fleet = deployment(1).await;
    fleet.fake.set_faults(Faults { down: true, ..Faults::default() });
    fleet.restart_sidecar("hints-1", "dar-1").await.unwrap();
    let caller = Caller::new(&fleet.url("entry-1"), KEY).unwrap();
    loop {
        // Until the gateway has detected that the old process is gone, it cannot answer `not-run`.
        let outcome = finish(caller.chat("hints", "m", 3, true)).await.unwrap();
        let Outcome::Refused { verdict, cause, .. } = outcome else { panic!("{outcome:?}") };
        if cause == "not-ready" {
            assert_eq!(verdict, "not-run");
            break;
        }
    }
    assert!(fleet.engine("hints-1").ledger.all().is_empty());
    fleet.fake.set_faults(Faults::default());
    fleet.wait_in_force(|config| config.version >= 1).await;
    fleet.wait_linked("hints", 1).await;
    loop {
        let outcome = finish(caller.chat("hints", "m", 3, true)).await.unwrap();
        if matches!(outcome, Outcome::Whole(_)) {
            return;
        }
        assert_eq!(outcome.verdict(), Some("not-run"), "{outcome:?}");
    }
}

#[tokio::test]
async fn an_invalid_row_is_reported_by_key_and_does_not_block_valid_rows() {
    let fleet = deployment(1).await;
    let bad = json!({ "service": "nowhere", "data_centre": "dar-1" });
    let worse = json!({ "service": "hints", "data_centre": "dar-1", "weight": 99_999_999 });
    fleet
        .edit(&[
            ("backend_server:bad", bad),
            ("backend_server:worse", worse),
            ("backend_server:hints-1", row(9)),
        ])
        .await
        .unwrap();
    fleet.wait_in_force(|config| weight(config) == 9).await;
    let errors = fleet.platform.rows(ROW_ERRORS, 0).await.unwrap().rows;
    let message = |key: &str| {
        let found = errors.iter().find(|row| row.key == key).expect("an error row");
        found.value["message"].as_str().unwrap().to_owned()
    };
    assert_eq!(message("backend_server:bad"), "service: there is no service `nowhere`");
    assert!(message("backend_server:worse").contains("from 0 to 10000"));
    // Once the missing service exists, the row that was left out is in force without another edit.
    fleet.edit(&[("service:nowhere", json!({ "kind": "plain" }))]).await.unwrap();
    fleet.wait_in_force(|config| config.server("bad").is_some()).await;
}

#[tokio::test]
async fn concurrent_edits_of_a_row_conflict_instead_of_overwriting() {
    let fleet = deployment(1).await;
    let key = "backend_server:hints-1";
    let stored = fleet.platform.row(ROWS, key).await.unwrap().unwrap();
    let write = |weight: u32| {
        let (table, key) = (ROWS.to_owned(), key.to_owned());
        let check = RowCheck { table: table.clone(), key: key.clone(), version: stored.version };
        (vec![check], vec![RowWrite { table, key, value: row(weight) }])
    };
    let (checks, writes) = write(3);
    fleet.platform.transact(checks, writes).await.unwrap();
    let (checks, writes) = write(4);
    let error = fleet.platform.transact(checks, writes).await.unwrap_err();
    let conflicts = error.conflicts().expect("a conflict");
    assert!(conflicts[0].version > stored.version);
    assert_eq!(fleet.platform.row(ROWS, key).await.unwrap().unwrap().value, row(3));
}

#[tokio::test]
async fn a_write_whose_response_was_lost_is_reported_as_successful() {
    let fleet = deployment(1).await;
    fleet.fake.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    fleet.edit(&[("service:late", json!({ "kind": "plain" }))]).await.unwrap();
    assert!(fleet.platform.row(ROWS, "service:late").await.unwrap().is_some());
}

#[tokio::test]
async fn a_write_whose_request_was_lost_fails_with_a_known_outcome() {
    let fleet = deployment(1).await;
    fleet.fake.set_faults(Faults { lose_requests: 1, ..Faults::default() });
    let error = fleet.edit(&[("service:lost", json!({ "kind": "plain" }))]).await.unwrap_err();
    let error = error.downcast::<hooktrestle_platform::Error>().unwrap();
    assert!(!error.is_outcome_unknown(), "{error}");
    assert!(fleet.platform.row(ROWS, "service:lost").await.unwrap().is_none());
}

#[tokio::test]
async fn concurrent_acceptors_create_one_version_per_edit() {
    let mut fleet = Fleet::start().await.unwrap();
    fleet.edit(&[("service:hints", json!({ "kind": "model" }))]).await.unwrap();
    let mut acceptors: Vec<Acceptor> =
        (0..4).map(|_| Acceptor::new(fleet.platform.clone())).collect();
    for round in 1..=5_u64 {
        let edit = json!({ "kind": "model", "deadline_ms": 1_000 + round });
        fleet.edit(&[("service:hints", edit)]).await.unwrap();
        let accepts = acceptors.iter_mut().map(Acceptor::accept);
        let accepted = futures_util::future::join_all(accepts).await;
        let versions: Vec<u64> = accepted
            .into_iter()
            .filter_map(|accepted| match accepted.unwrap() {
                Accepted::Version(version) => Some(version),
                Accepted::Nothing | Accepted::Raced => None,
            })
            .collect();
        assert_eq!(versions, [round], "exactly one acceptor wins each round");
    }
    fleet.add_gateway("entry-1", "dar-1").await.unwrap();
    fleet.wait_in_force(|config| config.version == 5).await;
}

/// Slow answers of the store and restarts of a sidecar must not bring an older version into force.
#[tokio::test]
async fn versions_never_decrease_over_sidecar_restarts_and_slow_store_responses() {
    let mut fleet = deployment(2).await;
    let mut floor = [0; 6];
    for round in 1..=6_u32 {
        fleet.edit(&[("backend_server:hints-1", row(10 + round))]).await.unwrap();
        let slow = Faults { delay_ms: u64::from(round % 3) * 40, ..Faults::default() };
        fleet.fake.set_faults(slow);
        if round % 2 == 0 {
            fleet.restart_sidecar("hints-2", "dar-1").await.unwrap();
        }
        fleet.wait_in_force(|config| weight(config) == 10 + round).await;
        for (floor, version) in floor.iter_mut().zip(versions(&fleet)) {
            let version = version.expect("in force");
            assert!(version >= *floor, "fell back from {floor} to {version}");
            *floor = version;
        }
    }
}

#[tokio::test]
async fn an_added_backend_server_gets_requests_once_its_row_is_in_force() {
    let mut fleet = deployment(1).await;
    fleet.add_engine("hints-9", "dar-1", Behaviour::default()).await.unwrap();
    fleet.edit(&[("backend_server:hints-9", row(100))]).await.unwrap();
    fleet.wait_linked("hints", 2).await;
    let caller = Caller::new(&fleet.url("entry-1"), KEY).unwrap();
    for number in 0..100 {
        let call = caller.chat("hints", &format!("n-{number}"), 1, true);
        assert!(matches!(finish(call).await.unwrap(), Outcome::Whole(_)));
    }
    assert!(!fleet.engine("hints-9").ledger.all().is_empty());
}
