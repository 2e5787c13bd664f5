//! One trace from the caller to the backend server, with a span for each hop.
//!
//! Guards against a gateway or sidecar that drops the caller's trace context.

mod common;

use std::time::Duration;

use hooktrestle_embedded::Caller;
use hooktrestle_embedded::Fleet;
use hooktrestle_embedded::Outcome;
use hooktrestle_embedded::caller::finish;
use hooktrestle_embedded::key_sha256_hex;
use hooktrestle_fakes::collector::FakeCollector;
use serde_json::json;

use common::KEY;

const TRACE_ID: [u8; 16] = *b"one-single-trace";

#[tokio::test(flavor = "multi_thread")]
async fn every_hop_sends_a_span_of_the_callers_trace() {
    let collector = FakeCollector::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let mut fleet = Fleet::start().await.unwrap();
    fleet.otlp_url = Some(collector.url());
    fleet.add_gateway("entry-1", "dar-1").await.unwrap();
    fleet.add_app("puzzles-1", "dar-1").await.unwrap();
    fleet
        .edit(&[
            ("data_centre:dar-1", json!({ "region": "dar" })),
            ("service:puzzles", json!({ "kind": "plain" })),
            ("account:publisher", json!({ "key_sha256_hex": key_sha256_hex(KEY) })),
            ("backend_server:puzzles-1", json!({ "service": "puzzles", "data_centre": "dar-1" })),
        ])
        .await
        .unwrap();
    fleet.wait_in_force(|config| config.servers.len() == 1).await;
    fleet.wait_linked("puzzles", 1).await;
    let caller = Caller::new(&fleet.url("entry-1"), KEY).unwrap();
    let trace_hex: String = TRACE_ID.iter().map(|byte| format!("{byte:02x}")).collect();
    let call = caller.plain("puzzles", "saved/1", "x".to_owned());
    let call = call.header("traceparent", format!("00-{trace_hex}-00000000000000aa-01"));
    assert_eq!(finish(call).await.unwrap(), Outcome::Whole("x".to_owned()));
    let gateway = fleet.gateways["entry-1"].leave(Duration::from_secs(5));
    let sidecar = fleet.sidecars["puzzles-1"].leave(Duration::from_secs(5));
    tokio::join!(gateway, sidecar);
    let (gateway, sidecar): (&[u8], &[u8]) = (b"gateway", b"sidecar");
    collector.wait(&[&TRACE_ID, gateway, b"hooktrestle.account", b"publisher"]).await;
    collector.wait(&[&TRACE_ID, sidecar, b"puzzles"]).await;
}
