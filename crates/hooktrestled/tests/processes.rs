//! A gateway and sidecars as separate processes, started and stopped as operators do it. The tests
//! guard against faults that an embedded fleet does not show: a daemon that cannot start from its
//! settings file, and requests that are truncated when a daemon is terminated.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use hooktrestle_embedded::Caller;
use hooktrestle_embedded::Fleet;
use hooktrestle_embedded::Outcome;
use hooktrestle_embedded::caller::finish;
use hooktrestle_embedded::key_sha256_hex;
use hooktrestle_fakes::engine::Behaviour;
use hooktrestle_fakes::engine::FakeEngine;
use hooktrestle_schema::Instance;
use hooktrestle_schema::InstanceRole;
use hooktrestle_schema::InstanceState;
use serde_json::json;

const KEY: &str = "solver-key";

/// A daemon that is killed when this is dropped.
struct Daemon {
    child: Child,
    address: SocketAddr,
    settings: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // An error means that the daemon has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn start(fleet: &Fleet, name: &str, role: &str, extra_sections: &str) -> Daemon {
    let url = fleet.fake.url();
    let instances_url = fleet.fake.instances_url();
    let text = format!(
        "[instance]\nname = {name}\nrole = {role}\ndata_centre = dar-1\nlisten = 127.0.0.1:0\n\
         stop_within_ms = 20000\n\
         [platform]\ntable_url = {url}\nobject_url = {url}\ninstances_url = {instances_url}\n\
         poll_ms = 100\n[links]\nkeys = process-key\nheartbeat_ms = 50\n\
         [gateway]\nkeep_endpoints_ms = 200\n{extra_sections}"
    );
    // The tests of this program run concurrently. The platform's port makes the file names unique.
    let port = url.rsplit(':').next().unwrap_or_default();
    let file = format!("hooktrestled-{}-{port}-{name}.ini", std::process::id());
    let settings = std::env::temp_dir().join(file);
    fs::write(&settings, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_hooktrestled"))
        .arg("--settings")
        .arg(&settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let address = read_address(&mut child);
    let role = if role == "gateway" { InstanceRole::Gateway } else { InstanceRole::Sidecar };
    fleet.fake.list_instance(Instance {
        name: name.to_owned(),
        data_centre: "dar-1".to_owned(),
        role,
        address: address.to_string(),
        state: InstanceState::Live,
    });
    Daemon { child, address, settings }
}

/// Reads the daemon's log up to the line with its address. The remaining log is read and dropped.
fn read_address(child: &mut Child) -> SocketAddr {
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let address = lines
        .by_ref()
        .map_while(Result::ok)
        .find_map(|line| {
            let (_, after) = line.split_once("address=")?;
            after.split_whitespace().next()?.parse().ok()
        })
        .expect("no address in the log of the daemon");
    std::thread::spawn(move || lines.for_each(drop));
    address
}

async fn hints(fleet: &Fleet, engines: &[&str]) {
    let mut rows = vec![
        ("data_centre:dar-1".to_owned(), json!({ "region": "dar" })),
        ("service:hints".to_owned(), json!({ "kind": "model" })),
        // Requests are retried until the daemons have links, and each counts against the limit.
        (
            "account:solver".to_owned(),
            json!({ "key_sha256_hex": key_sha256_hex(KEY), "limit_requests_per_s": 1_000_000 }),
        ),
    ];
    for name in engines {
        let row = json!({ "service": "hints", "data_centre": "dar-1" });
        rows.push((format!("backend_server:{name}"), row));
    }
    let rows: Vec<_> = rows.iter().map(|(key, row)| (key.as_str(), row.clone())).collect();
    fleet.edit(&rows).await.unwrap();
}

/// Sends requests until the gateway has a link to a sidecar that is ready.
async fn first_answer(caller: &Caller) {
    loop {
        let outcome = finish(caller.chat("hints", "warm-up", 1, true)).await.unwrap();
        if matches!(outcome, Outcome::Whole(_)) {
            return;
        }
    }
}

async fn engine() -> FakeEngine {
    FakeEngine::start("127.0.0.1:0".parse().unwrap(), Behaviour::default()).await.unwrap()
}

fn sidecar_section(engine: &FakeEngine) -> String {
    format!("[sidecar]\nbackend_url = {}\n", engine.url())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_through_separate_processes() {
    let fleet = Fleet::start().await.unwrap();
    let engine = engine().await;
    let _sidecar = start(&fleet, "hints-1", "sidecar", &sidecar_section(&engine));
    let gateway = start(&fleet, "entry-1", "gateway", "");
    hints(&fleet, &["hints-1"]).await;
    let caller = Caller::new(&format!("http://{}", gateway.address), KEY).unwrap();
    first_answer(&caller).await;
    let outcome = finish(caller.chat("hints", "real", 50, true)).await.unwrap();
    let Outcome::Whole(text) = outcome else { panic!("{outcome:?}") };
    assert_eq!(text.matches("real#").count(), 50);
    assert!(text.ends_with("data: [DONE]\n\n"));
}

/// Guards against answers truncated by the termination of a sidecar: it must finish the requests in
/// flight before it exits, and exit with 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_sidecar_finishes_requests_in_flight_and_exits_with_0() {
    let fleet = Fleet::start().await.unwrap();
    let (one, two) = (engine().await, engine().await);
    let mut leaving = start(&fleet, "hints-1", "sidecar", &sidecar_section(&one));
    let _staying = start(&fleet, "hints-2", "sidecar", &sidecar_section(&two));
    let gateway = start(&fleet, "entry-1", "gateway", "");
    hints(&fleet, &["hints-1", "hints-2"]).await;
    let caller = Caller::new(&format!("http://{}", gateway.address), KEY).unwrap();
    // Both engines must have answered: a sidecar without a configuration refuses its requests.
    while [&one, &two].iter().any(|engine| engine.ledger.entry("warm-up").finished == 0) {
        first_answer(&caller).await;
    }
    let mut calls: Vec<_> = (0..20)
        .map(|number| {
            let call = caller.chat("hints", &format!("long-{number}"), 300, true);
            tokio::spawn(finish(call))
        })
        .collect();
    for (number, call) in calls.iter_mut().enumerate() {
        let marker = format!("long-{number}");
        tokio::select! {
            () = one.ledger.wait(&marker, |entry| entry.started > 0) => {}
            () = two.ledger.wait(&marker, |entry| entry.started > 0) => {}
            ended = call => panic!("ended before it started: {ended:?}"),
        }
    }
    let terminated = Command::new("kill").arg(leaving.child.id().to_string()).status().unwrap();
    assert!(terminated.success());
    for call in calls {
        let outcome = call.await.unwrap().unwrap();
        let Outcome::Whole(text) = outcome else { panic!("{outcome:?}") };
        assert!(text.ends_with("data: [DONE]\n\n"));
    }
    let status = tokio::task::spawn_blocking(move || leaving.child.wait().unwrap()).await.unwrap();
    assert!(status.success(), "{status}");
}

/// Guards against a daemon that starts with a wrong setting: a misspelt name and a value out of
/// range must be reported with their lines.
#[test]
fn a_bad_settings_file_is_refused_with_file_line_and_range() {
    let path = std::env::temp_dir().join(format!("hooktrestled-{}-bad.ini", std::process::id()));
    let text = "[instance]\nname = a\nrole = gateway\ndata_centre = d\nlisten = 127.0.0.1:0\n\
                stop_within = 5\n\
                [platform]\ntable_url = x\nobject_url = x\ninstances_url = x\npoll_ms = 1\n\
                [links]\nkeys = k\n";
    fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_hooktrestled"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    fs::remove_file(&path).unwrap();
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(message.contains(":6: [instance] stop_within: is not a known name"), "{message}");
    assert!(message.contains("did you mean `stop_within_ms`?"), "{message}");
    assert!(
        message.contains(":11: [platform] poll_ms: 1 given; it must be a whole number from 50"),
        "{message}"
    );
}
