//! Gateways, sidecars and backend servers in one process, on loopback with free ports. The example
//! takes no input. It sends requests to four services, makes some experts popular until they are
//! moved, and drains backend servers under load.
//!
//! The last line counts the requests. The exit status is 0 only if every request got a complete
//! answer and the experts were moved without a fault.

use std::process::ExitCode;
use std::time::Duration;

use eyre::Result;
use hooktrestle_embedded::Caller;
use hooktrestle_embedded::Fleet;
use hooktrestle_embedded::Outcome;
use hooktrestle_embedded::caller::finish;
use hooktrestle_embedded::key_sha256_hex;
use hooktrestle_fakes::engine::Behaviour;
use hooktrestle_fakes::group::FakeGroup;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

const KEY: &str = "quickstart-key";
const ENGINES: usize = 4;
const EXPERTS: usize = 16;
const SLOTS: usize = 5;
const HOT: [usize; 3] = [0, 4, 8];
const MOVE_WITHIN: Duration = Duration::from_secs(15);
const LOAD_REQUESTS: usize = 120;
const LOAD_TOKENS: u64 = 60;

/// Requests by outcome.
#[derive(Default)]
struct Tally {
    answered: usize,
    failed: usize,
    truncated: usize,
}

impl Tally {
    fn count(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Whole(_) => self.answered += 1,
            Outcome::Refused { .. } => self.failed += 1,
            Outcome::Truncated(_) => self.truncated += 1,
        }
    }
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let group = FakeGroup::start(ENGINES, EXPERTS, SLOTS);
    let fleet = start(&group).await?;
    let mut tally = Tally::default();
    stream_one(&fleet, &mut tally).await?;
    call_plain(&fleet, &mut tally).await?;
    let moved = move_experts(&group).await?;
    drain_under_load(&fleet, &mut tally).await?;
    let Tally { answered, failed, truncated } = tally;
    println!("quickstart: {answered} answered, {failed} failed, {truncated} cut off");
    let good = failed == 0 && truncated == 0 && moved;
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Starts two gateways, the model services `hints` and `recap`, and the plain services `puzzles`
/// and `reader`.
async fn start(group: &FakeGroup) -> Result<Fleet> {
    println!("starting the platform's stand-in, 2 gateways, {} backend servers", 2 * ENGINES + 2);
    let mut fleet = Fleet::start().await?;
    let mut rows = vec![
        ("data_centre:dc-1".to_owned(), json!({ "region": "home" })),
        (
            "account:reader".to_owned(),
            json!({ "key_sha256_hex": key_sha256_hex(KEY), "limit_requests_per_s": 1_000 }),
        ),
    ];
    for name in ["entry-1", "entry-2"] {
        fleet.add_gateway(name, "dc-1").await?;
    }
    let hints = json!({ "kind": "model", "experts_per_layer": EXPERTS });
    rows.push(("service:hints".to_owned(), hints));
    rows.push(("service:recap".to_owned(), json!({ "kind": "model" })));
    for number in 1..=ENGINES {
        let name = format!("hints-{number}");
        fleet.add_rank(&name, "dc-1", group, number - 1).await?;
        rows.push(server_row(&name, "hints"));
        let name = format!("recap-{number}");
        fleet.add_engine(&name, "dc-1", Behaviour::default()).await?;
        rows.push(server_row(&name, "recap"));
    }
    for service in ["puzzles", "reader"] {
        rows.push((format!("service:{service}"), json!({ "kind": "plain" })));
        let name = format!("{service}-1");
        fleet.add_app(&name, "dc-1").await?;
        rows.push(server_row(&name, service));
    }
    let edits: Vec<(&str, Value)> =
        rows.iter().map(|(key, value)| (key.as_str(), value.clone())).collect();
    fleet.edit(&edits).await?;
    fleet.wait_in_force(|config| config.servers.len() == 2 * ENGINES + 2).await;
    for service in ["hints", "recap"] {
        fleet.wait_linked(service, ENGINES).await;
    }
    for service in ["puzzles", "reader"] {
        fleet.wait_linked(service, 1).await;
    }
    println!("{} rows accepted and in force everywhere", rows.len());
    Ok(fleet)
}

fn server_row(name: &str, service: &str) -> (String, Value) {
    let row = json!({ "service": service, "data_centre": "dc-1", "keeps_fence": true });
    (format!("backend_server:{name}"), row)
}

async fn stream_one(fleet: &Fleet, tally: &mut Tally) -> Result<()> {
    let caller = Caller::new(&fleet.url("entry-1"), KEY)?;
    let mut response = caller.chat("hints", "clue", 12, true).send().await?;
    println!("a streamed answer:");
    let mut is_complete = false;
    while let Some(chunk) = response.chunk().await? {
        let text = String::from_utf8_lossy(&chunk).into_owned();
        is_complete |= text.contains("[DONE]");
        print!("{text}");
    }
    let end =
        if is_complete { Outcome::Whole(String::new()) } else { Outcome::Truncated(String::new()) };
    tally.count(&end);
    Ok(())
}

async fn call_plain(fleet: &Fleet, tally: &mut Tally) -> Result<()> {
    let caller = Caller::new(&fleet.url("entry-2"), KEY)?;
    for service in ["puzzles", "reader"] {
        let outcome = finish(caller.plain(service, "saved/42", "progress".to_owned())).await?;
        println!("{service}: {outcome:?}");
        tally.count(&outcome);
    }
    Ok(())
}

/// Makes a few experts of `hints` popular, and waits until its sidecars have moved them to
/// different ranks.
async fn move_experts(group: &FakeGroup) -> Result<bool> {
    let mut shares = [1.0; EXPERTS];
    HOT.iter().for_each(|expert| shares[*expert] = 6.0);
    let sum: f64 = shares.iter().sum();
    group.set_popularity(shares.iter().map(|share| share / sum).collect());
    println!("experts {HOT:?} of hints are hot; ranks have {:?}", group.experts());
    let mut steps = group.watch();
    let moved = steps.wait_for(|steps| steps.map_version > 0);
    let steps = tokio::time::timeout(MOVE_WITHIN, moved).await??.clone();
    println!("ranks have {:?}", group.experts());
    println!("map {} after {} steps, {} held", steps.map_version, steps.run, steps.held);
    Ok(steps.faults.is_empty())
}

/// Sends many requests to both model services and drains one backend server of each meanwhile.
async fn drain_under_load(fleet: &Fleet, tally: &mut Tally) -> Result<()> {
    println!("{LOAD_REQUESTS} requests, while hints-1 and recap-1 are drained");
    let mut calls = JoinSet::new();
    for number in 0..LOAD_REQUESTS {
        let gateway = if number % 2 == 0 { "entry-1" } else { "entry-2" };
        let service = if number % 4 < 2 { "hints" } else { "recap" };
        let caller = Caller::new(&fleet.url(gateway), KEY)?;
        let call = caller.chat(service, &format!("load-{number}"), LOAD_TOKENS, true);
        calls.spawn(finish(call));
        if number == LOAD_REQUESTS / 2 {
            drain(fleet).await?;
        }
    }
    while let Some(outcome) = calls.join_next().await {
        let outcome = outcome??;
        if !matches!(outcome, Outcome::Whole(_)) {
            println!("{outcome:?}");
        }
        tally.count(&outcome);
    }
    Ok(())
}

async fn drain(fleet: &Fleet) -> Result<()> {
    let row = |service: &str| json!({ "service": service, "data_centre": "dc-1", "keeps_fence": true, "drain": true });
    let edits =
        [("backend_server:hints-1", row("hints")), ("backend_server:recap-1", row("recap"))];
    fleet.edit(&edits).await
}
