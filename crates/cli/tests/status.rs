//! `status`, `set --wait` and `drain` against a running fleet.
//!
//! Guards against reporting a change as in force too early: before every data centre has it, when
//! its row was left out, or when a gateway does not respond.

use std::process::Output;

use hooktrestle_embedded::Fleet;
use hooktrestle_fakes::engine::Behaviour;
use hooktrestle_schema::Instance;
use hooktrestle_schema::InstanceRole;
use hooktrestle_schema::InstanceState;
use serde_json::Value;
use serde_json::json;
use tokio::process::Command;

async fn tool(fleet: &Fleet, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hooktrestle"));
    command.args(["--platform", &fleet.fake.url()]).args(arguments).output().await.unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

async fn fleet() -> Fleet {
    let mut fleet = Fleet::start().await.unwrap();
    for centre in ["dar-1", "dar-2"] {
        fleet.add_gateway(&format!("entry-{centre}"), centre).await.unwrap();
    }
    fleet.add_engine("hints-1", "dar-1", Behaviour::default()).await.unwrap();
    fleet
        .edit(&[
            ("data_centre:dar-1", json!({ "region": "dar" })),
            ("data_centre:dar-2", json!({ "region": "dar" })),
            ("service:hints", json!({ "kind": "model" })),
            ("backend_server:hints-1", json!({ "service": "hints", "data_centre": "dar-1" })),
        ])
        .await
        .unwrap();
    fleet.wait_in_force(|config| config.servers.len() == 1).await;
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_with_wait_reports_the_version_in_every_data_centre() {
    let fleet = fleet().await;
    let drained = tool(&fleet, &["drain", "backend_server:hints-1", "--wait"]).await;
    let message = text(&drained.stdout);
    assert!(drained.status.success(), "{message}{}", text(&drained.stderr));
    assert!(message.contains("drain: (default) -> true"), "{message}");
    for centre in ["dar-1: version", "dar-2: version"] {
        assert!(message.contains(centre), "{message}");
    }
    fleet.wait_in_force(|config| config.is_draining(config.server("hints-1").unwrap())).await;
    let dry = tool(&fleet, &["set", "--dry-run", "backend_server:hints-1", "weight=7"]).await;
    assert!(text(&dry.stdout).ends_with("nothing written\n"));
    let row = tool(&fleet, &["get", "backend_server:hints-1"]).await;
    assert!(!text(&row.stdout).contains("weight"), "{}", text(&row.stdout));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_row_is_reported_by_set_and_listed_by_status() {
    let fleet = fleet().await;
    let arguments = ["set", "--wait", "backend_server:x", "service=nowhere", "data_centre=dar-1"];
    let refused = tool(&fleet, &arguments).await;
    assert_eq!(refused.status.code(), Some(1));
    let message = text(&refused.stderr);
    assert!(
        message.contains("backend_server:x is not accepted: service: there is no service"),
        "{message}"
    );
    let status = tool(&fleet, &["status", "--json"]).await;
    let status: Value = serde_json::from_slice(&status.stdout).unwrap();
    assert!(status["rows_left_out"]["backend_server:x"].is_string(), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn status_names_an_unreachable_gateway_and_exits_with_3() {
    let fleet = fleet().await;
    let good = tool(&fleet, &["status"]).await;
    assert!(good.status.success(), "{}", text(&good.stderr));
    assert!(text(&good.stdout).contains("dar-2"), "{}", text(&good.stdout));
    fleet.fake.list_instance(Instance {
        name: "entry-gone".to_owned(),
        data_centre: "dar-2".to_owned(),
        role: InstanceRole::Gateway,
        address: "127.0.0.1:1".to_owned(),
        state: InstanceState::Live,
    });
    let bad = tool(&fleet, &["status"]).await;
    assert_eq!(bad.status.code(), Some(3));
    assert!(text(&bad.stdout).contains("entry-gone"), "{}", text(&bad.stdout));
}
