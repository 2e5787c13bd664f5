//! Latency and throughput of calls, sent directly to a backend server and through gateway and
//! sidecar. It has no input. State: a fleet with one server of each kind. Both ways are measured in
//! the same run.

use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::ensure;
use hdrhistogram::Histogram;
use hooktrestle_embedded::Caller;
use hooktrestle_embedded::Fleet;
use hooktrestle_embedded::Outcome;
use hooktrestle_embedded::caller::finish;
use hooktrestle_embedded::key_sha256_hex;
use hooktrestle_fakes::engine::Behaviour;
use serde_json::json;

/// Number of sequential calls for the latency measurement.
const LATENCY_CALLS: usize = 2_000;

/// Number of concurrent streams, and tokens of each, for the throughput measurement.
const STREAMS: usize = 64;
const STREAM_TOKENS: u64 = 500;

const KEY: &str = "bench-key";

/// Measurements of one way to the backend server.
#[derive(Clone, Copy, Debug)]
pub struct PathTimes {
    /// Median time to the first byte, in microseconds.
    pub first_p50_us: u64,
    /// 99th percentile of the time to the first byte, in microseconds.
    pub first_p99_us: u64,
    /// Streamed tokens a second.
    pub tokens_per_s: f64,
    /// Sequential calls a second.
    pub calls_per_s: f64,
}

/// Measures calls that are sent directly, then calls through gateway and sidecar.
///
/// # Errors
///
/// The fleet cannot start, or a call fails.
pub async fn measure() -> Result<[PathTimes; 2]> {
    let fleet = start().await?;
    let app = fleet.app("plain-1").url();
    let engine = fleet.engine("model-1").url();
    let gateway = Caller::new(&fleet.url("entry-1"), KEY)?;
    let direct_app = Caller::new(&app, KEY)?;
    let direct_engine = Caller::new(&engine, KEY)?;
    let direct = measure_path(
        |number| direct_app.post(&format!("/direct/{number}")).body("x"),
        |number| direct_engine.chat("model", &format!("d-{number}"), STREAM_TOKENS, true),
    )
    .await?;
    let through = measure_path(
        |number| gateway.plain("plain", &format!("through/{number}"), "x".to_owned()),
        |number| gateway.chat("model", &format!("t-{number}"), STREAM_TOKENS, true),
    )
    .await?;
    Ok([direct, through])
}

async fn measure_path(
    call: impl Fn(usize) -> reqwest::RequestBuilder,
    stream: impl Fn(usize) -> reqwest::RequestBuilder,
) -> Result<PathTimes> {
    for number in 0..50 {
        finish(call(number)).await?;
    }
    let mut first: Histogram<u64> = Histogram::new(3)?;
    let start = Instant::now();
    for number in 0..LATENCY_CALLS {
        let sent = Instant::now();
        let response = call(number).send().await?;
        first.record(u64::try_from(sent.elapsed().as_micros())?)?;
        ensure!(response.status().is_success(), "a call failed with status {}", response.status());
        response.bytes().await?;
    }
    let calls_per_s = LATENCY_CALLS as f64 / start.elapsed().as_secs_f64();
    let start = Instant::now();
    let streams: Vec<_> = (0..STREAMS).map(|number| tokio::spawn(finish(stream(number)))).collect();
    for stream in streams {
        let outcome = stream.await??;
        ensure!(matches!(outcome, Outcome::Whole(_)), "a stream ended as {outcome:?}");
    }
    let tokens = STREAMS as f64 * STREAM_TOKENS as f64;
    Ok(PathTimes {
        first_p50_us: first.value_at_quantile(0.5),
        first_p99_us: first.value_at_quantile(0.99),
        tokens_per_s: tokens / start.elapsed().as_secs_f64(),
        calls_per_s,
    })
}

async fn start() -> Result<Fleet> {
    let mut fleet = Fleet::start().await?;
    fleet.add_gateway("entry-1", "dc-1").await?;
    let fast = Behaviour { step: Duration::ZERO, ..Behaviour::default() };
    fleet.add_engine("model-1", "dc-1", fast).await?;
    fleet.add_app("plain-1", "dc-1").await?;
    let account = json!({
        "key_sha256_hex": key_sha256_hex(KEY),
        "limit_requests_per_s": 1_000_000, "limit_tokens_per_s": 100_000_000,
    });
    let server = |service: &str| json!({ "service": service, "data_centre": "dc-1", "limit_running_requests": 256 });
    fleet
        .edit(&[
            ("data_centre:dc-1", json!({ "region": "home" })),
            ("service:model", json!({ "kind": "model" })),
            ("service:plain", json!({ "kind": "plain" })),
            ("account:bench", account),
            ("backend_server:model-1", server("model")),
            ("backend_server:plain-1", server("plain")),
        ])
        .await?;
    fleet.wait_in_force(|config| config.servers.len() == 2).await;
    fleet.wait_linked("model", 1).await;
    fleet.wait_linked("plain", 1).await;
    Ok(fleet)
}
