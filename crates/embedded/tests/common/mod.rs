//! A small deployment, and the answers that its stand-in engines give.
#![allow(dead_code, reason = "each test program uses a part")]

use hooktrestle_embedded::Fleet;
use hooktrestle_embedded::key_sha256_hex;
use hooktrestle_fakes::engine::Behaviour;
use serde_json::Value;
use serde_json::json;

/// The test account's key.
pub const KEY: &str = "publisher-key";

/// Key of an account with a small limit.
pub const SMALL_KEY: &str = "small-key";

/// Starts two gateways, `engines` model engines of the service `hints`, and one application of the
/// service `puzzles`.
pub async fn deployment(engines: usize) -> Fleet {
    let mut fleet = Fleet::start().await.unwrap();
    for name in ["entry-1", "entry-2"] {
        fleet.add_gateway(name, "dar-1").await.unwrap();
    }
    for number in 1..=engines {
        let name = format!("hints-{number}");
        fleet.add_engine(&name, "dar-1", Behaviour::default()).await.unwrap();
    }
    fleet.add_app("puzzles-1", "dar-1").await.unwrap();
    let mut rows = vec![
        ("data_centre:dar-1".to_owned(), json!({ "region": "dar" })),
        ("service:hints".to_owned(), json!({ "kind": "model" })),
        ("service:puzzles".to_owned(), json!({ "kind": "plain" })),
        (
            "account:publisher".to_owned(),
            json!({ "key_sha256_hex": key_sha256_hex(KEY), "limit_requests_per_s": 10_000 }),
        ),
        (
            "account:small".to_owned(),
            json!({ "key_sha256_hex": key_sha256_hex(SMALL_KEY), "limit_requests_per_s": 4 }),
        ),
        (
            "backend_server:puzzles-1".to_owned(),
            json!({ "service": "puzzles", "data_centre": "dar-1" }),
        ),
    ];
    for number in 1..=engines {
        rows.push((
            format!("backend_server:hints-{number}"),
            json!({ "service": "hints", "data_centre": "dar-1" }),
        ));
    }
    let rows: Vec<(&str, Value)> =
        rows.iter().map(|(key, value)| (key.as_str(), value.clone())).collect();
    fleet.edit(&rows).await.unwrap();
    fleet.wait_in_force(|config| config.servers.len() == engines + 1).await;
    fleet.wait_linked("hints", engines).await;
    fleet.wait_linked("puzzles", 1).await;
    fleet
}

/// The content of a streamed chat answer.
pub fn answer_text(events: &str) -> String {
    events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect()
}

/// The answer of the stand-in engine.
pub fn expected(marker: &str, tokens: u64) -> String {
    (0..tokens).map(|number| format!("{marker}#{number} ")).collect()
}
