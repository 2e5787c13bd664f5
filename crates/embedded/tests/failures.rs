//! Responses to callers while backend servers, sidecars and gateways refuse, fail, leave or drain.
//!
//! Guards against a wrong verdict (`not-run` for a request that ran), a second run of a request
//! that must run once, and truncated answers that look complete. The ledgers of the stand-in
//! backend servers hold what really ran.

mod common;

use std::time::Duration;

use hooktrestle_embedded::Caller;
use hooktrestle_embedded::Fleet;
use hooktrestle_embedded::Outcome;
use hooktrestle_embedded::caller::finish;
use hooktrestle_embedded::caller::read;
use hooktrestle_fakes::engine::Behaviour;
use hooktrestle_fakes::platform::Faults;
use reqwest::RequestBuilder;
use serde_json::json;

use common::KEY;
use common::SMALL_KEY;
use common::answer_text;
use common::deployment;
use common::expected;

const NOT_REPEATABLE: &str = "x-hooktrestle-not-repeatable";
const REQUEST_KEY: &str = "x-hooktrestle-request-key";

fn caller(fleet: &Fleet, gateway: &str) -> Caller {
    Caller::new(&fleet.url(gateway), KEY).unwrap()
}

fn once(call: RequestBuilder, key: &str) -> RequestBuilder {
    call.header(NOT_REPEATABLE, "true").header(REQUEST_KEY, key)
}

fn cause(outcome: &Outcome) -> (&str, &str) {
    match outcome {
        Outcome::Refused { verdict, cause, .. } => (verdict, cause),
        other => panic!("{other:?}"),
    }
}

fn stalled() -> Behaviour {
    Behaviour { stalled: true, ..Behaviour::default() }
}

#[tokio::test]
async fn no_request_fails_while_one_of_two_backend_servers_refuses() {
    let fleet = deployment(2).await;
    fleet.engine("hints-1").set_behaviour(Behaviour { refuse: true, ..Behaviour::default() });
    for number in 0..20 {
        let call = caller(&fleet, "entry-1").chat("hints", &format!("n-{number}"), 2, true);
        assert!(matches!(finish(call).await.unwrap(), Outcome::Whole(_)));
    }
    assert!(fleet.engine("hints-1").ledger.all().is_empty());
}

#[tokio::test]
async fn a_backend_server_gets_no_requests_during_its_back_off() {
    let fleet = deployment(2).await;
    let backing_off = Behaviour { refuse: true, retry_after_s: Some(500), ..Behaviour::default() };
    let chat =
        |number: u32| caller(&fleet, "entry-1").chat("hints", &format!("n-{number}"), 2, true);
    fleet.engine("hints-1").set_behaviour(backing_off);
    fleet.engine("hints-2").set_behaviour(backing_off);
    let outcome = finish(chat(0)).await.unwrap();
    assert_eq!(outcome.verdict(), Some("not-run"), "both ask for a back-off");
    // Both servers accept requests from here on; the back-off still holds.
    fleet.engine("hints-1").set_behaviour(Behaviour::default());
    fleet.engine("hints-2").set_behaviour(Behaviour::default());
    for number in 1..6 {
        let Outcome::Refused { verdict, retry_after_ms, .. } = finish(chat(number)).await.unwrap()
        else {
            panic!("the request was not refused")
        };
        assert_eq!(verdict, "not-run");
        let left_ms = retry_after_ms.expect("a retry time");
        assert!((400_000..=500_000).contains(&left_ms), "{left_ms} ms");
    }
    for name in ["hints-1", "hints-2"] {
        assert!(fleet.engine(name).ledger.all().is_empty());
    }
}

#[tokio::test]
async fn a_backend_server_gets_no_more_requests_than_its_advertised_limit() {
    let fleet = deployment(1).await;
    // A server with a limit of zero still gets one request every ten seconds.
    let limited = Behaviour { advertised_limit_per_s: Some(0.0), ..Behaviour::default() };
    fleet.engine("hints-1").set_behaviour(limited);
    let chat = |gateway: &str, number: u32| {
        let request = caller(&fleet, gateway).chat("hints", &format!("n-{number}"), 2, true);
        request.header("x-hooktrestle-deadline-ms", "2000")
    };
    assert!(matches!(finish(chat("entry-1", 0)).await.unwrap(), Outcome::Whole(_)));
    for (number, gateway) in [(1, "entry-1"), (2, "entry-2"), (3, "entry-1")] {
        let outcome = finish(chat(gateway, number)).await.unwrap();
        let Outcome::Refused { verdict, retry_after_ms, .. } = outcome else {
            panic!("the request was not refused")
        };
        assert_eq!(verdict, "not-run");
        assert!(retry_after_ms.is_some_and(|after_ms| after_ms > 2_000), "{retry_after_ms:?}");
    }
    assert_eq!(fleet.engine("hints-1").ledger.all().len(), 1);
}

#[tokio::test]
async fn a_request_refused_by_every_backend_server_gets_the_verdict_not_run() {
    let fleet = deployment(2).await;
    for name in ["hints-1", "hints-2"] {
        fleet.engine(name).set_behaviour(Behaviour { refuse: true, ..Behaviour::default() });
    }
    let call = caller(&fleet, "entry-1").chat("hints", "m", 2, true);
    let outcome = finish(call).await.unwrap();
    assert_eq!(outcome.verdict(), Some("not-run"));
    for name in ["hints-1", "hints-2"] {
        assert!(fleet.engine(name).ledger.all().is_empty());
    }
}

#[tokio::test]
async fn a_truncated_answer_ends_with_an_error_event_and_without_done() {
    let fleet = deployment(1).await;
    let truncated = Behaviour { truncate_after_tokens: Some(5), ..Behaviour::default() };
    fleet.engine("hints-1").set_behaviour(truncated);
    let outcome = finish(caller(&fleet, "entry-1").chat("hints", "m", 20, true)).await.unwrap();
    let Outcome::Truncated(text) = outcome else { panic!("{outcome:?}") };
    assert!(text.contains("event: error"), "{text}");
    assert!(text.contains("\"verdict\":\"ran\""), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
}

#[tokio::test]
async fn a_request_key_runs_once_over_retries_through_other_gateways() {
    let fleet = deployment(2).await;
    let key = caller(&fleet, "entry-1").request_key("hints").await.unwrap();
    let first = once(caller(&fleet, "entry-1").chat("hints", "charged", 3, true), &key);
    assert!(matches!(finish(first).await.unwrap(), Outcome::Whole(_)));
    for gateway in ["entry-2", "entry-1", "entry-2"] {
        let retry = once(caller(&fleet, gateway).chat("hints", "charged", 3, true), &key);
        let outcome = finish(retry).await.unwrap();
        assert_eq!(cause(&outcome), ("may-have-run", "already-seen"));
    }
    let started = |name: &str| fleet.engine(name).ledger.entry("charged").started;
    assert_eq!(started("hints-1") + started("hints-2"), 1);
}

#[tokio::test]
async fn concurrent_requests_with_one_key_through_two_gateways_run_once() {
    let fleet = deployment(2).await;
    for round in 0..10 {
        let marker = format!("charged-{round}");
        let key = caller(&fleet, "entry-2").request_key("hints").await.unwrap();
        let calls = ["entry-1", "entry-2", "entry-1"].map(|gateway| {
            finish(once(caller(&fleet, gateway).chat("hints", &marker, 2, true), &key))
        });
        let outcomes = futures_util::future::join_all(calls).await;
        let complete =
            outcomes.iter().filter(|outcome| matches!(outcome, Ok(Outcome::Whole(_)))).count();
        assert_eq!(complete, 1, "{outcomes:?}");
        let started = |name: &str| fleet.engine(name).ledger.entry(&marker).started;
        assert_eq!(started("hints-1") + started("hints-2"), 1);
    }
}

#[tokio::test]
async fn a_request_key_is_not_run_again_after_a_sidecar_restart() {
    let mut fleet = deployment(1).await;
    let key = caller(&fleet, "entry-1").request_key("hints").await.unwrap();
    let first = once(caller(&fleet, "entry-1").chat("hints", "charged", 3, true), &key);
    assert!(matches!(finish(first).await.unwrap(), Outcome::Whole(_)));
    fleet.restart_sidecar("hints-1", "dar-1").await.unwrap();
    fleet.wait_in_force(|_| true).await;
    loop {
        let retry = once(caller(&fleet, "entry-2").chat("hints", "charged", 3, true), &key);
        let outcome = finish(retry).await.unwrap();
        assert_eq!(outcome.verdict(), Some("may-have-run"), "{outcome:?}");
        if cause(&outcome).1 == "other-incarnation" {
            break;
        }
    }
    assert_eq!(fleet.engine("hints-1").ledger.entry("charged").started, 1);
}

#[tokio::test]
async fn a_forged_request_key_or_one_of_another_service_is_refused() {
    let fleet = deployment(1).await;
    let key = caller(&fleet, "entry-1").request_key("puzzles").await.unwrap();
    for bad in ["made-up", &key] {
        let call = once(caller(&fleet, "entry-1").chat("hints", "m", 3, true), bad);
        assert_eq!(cause(&finish(call).await.unwrap()), ("not-run", "bad-request"));
    }
    assert!(fleet.engine("hints-1").ledger.all().is_empty());
}

#[tokio::test]
async fn a_non_repeatable_request_is_not_rerun_after_its_sidecar_restarts() {
    let mut fleet = deployment(2).await;
    for name in ["hints-1", "hints-2"] {
        fleet.engine(name).set_behaviour(stalled());
    }
    let call = caller(&fleet, "entry-1").chat("hints", "charged", 3, false);
    let call = tokio::spawn(finish(call.header(NOT_REPEATABLE, "true")));
    let one = fleet.engine("hints-1").ledger.clone();
    let two = fleet.engine("hints-2").ledger.clone();
    let at = tokio::select! {
        () = one.wait("charged", |entry| entry.started > 0) => "hints-1",
        () = two.wait("charged", |entry| entry.started > 0) => "hints-2",
    };
    fleet.restart_sidecar(at, "dar-1").await.unwrap();
    let outcome = call.await.unwrap().unwrap();
    assert_eq!(outcome.verdict(), Some("may-have-run"), "{outcome:?}");
    assert_eq!(one.entry("charged").started + two.entry("charged").started, 1);
}

#[tokio::test]
async fn a_disconnected_caller_cancels_its_request_at_the_engine() {
    let fleet = deployment(1).await;
    let call = caller(&fleet, "entry-1").chat("hints", "gone", 1_000_000, true);
    let mut response = call.send().await.unwrap();
    response.chunk().await.unwrap().unwrap();
    drop(response);
    // The sidecar has no running request before the timeout only if the run was cancelled.
    let running = fleet.sidecars["hints-1"].leave(Duration::from_secs(20)).await;
    assert_eq!(running, 0);
    assert_eq!(fleet.engine("hints-1").ledger.entry("gone").finished, 0);
}

#[tokio::test]
async fn a_slow_reader_does_not_block_other_requests_on_the_link() {
    let fleet = deployment(1).await;
    let slow = caller(&fleet, "entry-1").plain("puzzles", "large", "x".repeat(8 << 20));
    let held = slow.send().await.unwrap();
    for number in 0..5 {
        let call = caller(&fleet, "entry-1").plain("puzzles", &format!("{number}"), "y".to_owned());
        assert_eq!(finish(call).await.unwrap(), Outcome::Whole("y".to_owned()));
    }
    let Outcome::Whole(text) = read(held).await.unwrap() else { panic!("not a complete answer") };
    assert_eq!(text.len(), 8 << 20);
}

#[tokio::test]
async fn a_draining_backend_server_gets_no_new_requests_in_a_store_outage() {
    let fleet = deployment(2).await;
    let drained = json!({ "service": "hints", "data_centre": "dar-1", "drain": true });
    fleet.edit(&[("backend_server:hints-1", drained)]).await.unwrap();
    fleet.wait_in_force(|config| config.is_draining(config.server("hints-1").unwrap())).await;
    fleet.fake.set_faults(Faults { down: true, ..Faults::default() });
    let before = fleet.engine("hints-1").ledger.all().len();
    for number in 0..40 {
        let gateway = if number % 2 == 0 { "entry-1" } else { "entry-2" };
        let call = caller(&fleet, gateway).chat("hints", &format!("late-{number}"), 1, true);
        assert!(matches!(finish(call).await.unwrap(), Outcome::Whole(_)));
    }
    assert_eq!(fleet.engine("hints-1").ledger.all().len(), before);
}

#[tokio::test]
async fn a_leaving_sidecar_hands_over_queued_requests_and_finishes_running_ones() {
    let fleet = deployment(2).await;
    for name in ["hints-1", "hints-2"] {
        fleet.engine(name).set_behaviour(stalled());
    }
    let calls: Vec<_> = (0..90)
        .map(|number| {
            let call = caller(&fleet, "entry-1").chat("hints", &format!("w-{number}"), 5, true);
            tokio::spawn(finish(call))
        })
        .collect();
    // Each backend server runs 32 requests; the others wait.
    let ledgers = ["hints-1", "hints-2"].map(|name| fleet.engine(name).ledger.clone());
    while ledgers.iter().map(|ledger| ledger.all().len()).sum::<usize>() < 64 {
        tokio::task::yield_now().await;
    }
    let leaving = fleet.sidecars["hints-1"].leave(Duration::from_secs(30));
    let release = async {
        for name in ["hints-1", "hints-2"] {
            fleet.engine(name).set_behaviour(Behaviour::default());
        }
    };
    let (unfinished, ()) = tokio::join!(leaving, release);
    assert_eq!(unfinished, 0);
    for (number, call) in calls.into_iter().enumerate() {
        let outcome = call.await.unwrap().unwrap();
        let Outcome::Whole(text) = outcome else { panic!("{outcome:?}") };
        assert_eq!(answer_text(&text), expected(&format!("w-{number}"), 5));
    }
    let all: Vec<_> = ledgers.iter().flat_map(|ledger| ledger.all().into_values()).collect();
    assert!(all.iter().all(|entry| entry.started == 1), "moved work ran once");
}

/// Sends a request from which its gateway knows how long those of its service take.
async fn show_service_time(caller: &Caller) {
    let shown = finish(caller.chat("hints", "earlier", 2, true)).await.unwrap();
    assert!(matches!(shown, Outcome::Whole(_)), "{shown:?}");
}

#[tokio::test]
async fn a_leaving_gateway_finishes_streams_and_serves_callers_with_old_endpoint_lists() {
    let fleet = deployment(1).await;
    let old = caller(&fleet, "entry-1");
    show_service_time(&old).await;
    let stream = tokio::spawn(finish(old.chat("hints", "long", 400, true)));
    fleet.engine("hints-1").ledger.wait("long", |entry| entry.started > 0).await;
    let leaving = fleet.gateways["entry-1"].leave(Duration::from_secs(30));
    let calls = async {
        let late = finish(old.chat("hints", "late", 2, true)).await.unwrap();
        assert!(matches!(late, Outcome::Whole(_)), "{late:?}");
        let answer: serde_json::Value =
            old.get("/v1/endpoints?service=hints").send().await.unwrap().json().await.unwrap();
        answer["endpoints"].as_array().unwrap().len()
    };
    let (unfinished, offered) = tokio::join!(leaving, calls);
    assert_eq!(unfinished, 0);
    assert_eq!(offered, 1, "the leaving gateway names only the other one");
    assert!(matches!(stream.await.unwrap().unwrap(), Outcome::Whole(_)));
}

/// Guards against requests that a leaving gateway accepts although they may last longer than it does:
/// they run, and their callers get no answer.
#[tokio::test]
async fn a_leaving_gateway_takes_late_only_what_ends_before_it_does() {
    let fleet = deployment(1).await;
    let old = caller(&fleet, "entry-1");
    let ask = async |id: &str, deadline_ms: u64| {
        let call = old.chat("hints", id, 2, true);
        let call = call.header("x-hooktrestle-deadline-ms", deadline_ms.to_string());
        finish(call).await.unwrap()
    };
    show_service_time(&old).await;
    let leaving = fleet.gateways["entry-1"].leave(Duration::from_secs(8));
    let calls = async {
        let early = ask("early", 60_000).await;
        assert!(matches!(early, Outcome::Whole(_)), "{early:?}");
        // Beyond the beginning of the stop.
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        let long = ask("long", 60_000).await;
        assert_eq!(cause(&long), ("not-run", "leaving"));
        let short = ask("short", 2_000).await;
        assert!(matches!(short, Outcome::Whole(_)), "{short:?}");
    };
    let (unfinished, ()) = tokio::join!(leaving, calls);
    assert_eq!(unfinished, 0);
    assert_eq!(fleet.engine("hints-1").ledger.entry("long").started, 0);
}

#[tokio::test]
async fn a_request_whose_deadline_passes_in_the_queue_does_not_run() {
    let fleet = deployment(1).await;
    fleet.engine("hints-1").set_behaviour(stalled());
    let hold: Vec<_> = (0..32)
        .map(|number| {
            let call = caller(&fleet, "entry-1").chat("hints", &format!("h-{number}"), 1, true);
            tokio::spawn(finish(call))
        })
        .collect();
    while fleet.engine("hints-1").ledger.all().len() < 32 {
        tokio::task::yield_now().await;
    }
    let call = caller(&fleet, "entry-2").chat("hints", "late", 1, true);
    let outcome = finish(call.header("x-hooktrestle-deadline-ms", "50")).await.unwrap();
    let (verdict, cause) = cause(&outcome);
    assert_eq!(cause, "deadline-passed");
    assert_ne!(verdict, "ran");
    assert_eq!(fleet.engine("hints-1").ledger.entry("late").started, 0);
    hold.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn an_account_over_its_limit_is_refused_with_a_retry_time() {
    let fleet = deployment(1).await;
    let small = Caller::new(&fleet.url("entry-1"), SMALL_KEY).unwrap();
    let mut refused = 0;
    for number in 0..10 {
        match finish(small.chat("hints", &format!("s-{number}"), 1, true)).await.unwrap() {
            Outcome::Whole(_) => {}
            Outcome::Refused { status, verdict, retry_after_ms, .. } => {
                assert_eq!((status, verdict.as_str()), (429, "not-run"));
                assert!(retry_after_ms.is_some_and(|ms| ms > 0));
                refused += 1;
            }
            Outcome::Truncated(text) => panic!("{text}"),
        }
    }
    assert!(refused > 0);
    // The limit of one account does not affect another.
    let call = caller(&fleet, "entry-1").chat("hints", "other", 1, true);
    assert!(matches!(finish(call).await.unwrap(), Outcome::Whole(_)));
}

#[tokio::test]
async fn a_sidecar_serves_metrics_and_is_not_ready_after_leaving() {
    let fleet = deployment(1).await;
    let ready = async |address: std::net::SocketAddr| {
        let answer = reqwest::get(format!("http://{address}/readyz")).await.unwrap();
        answer.status().as_u16()
    };
    let sidecar = &fleet.sidecars["hints-1"];
    assert_eq!(ready(sidecar.admin_address).await, 200);
    let metrics = format!("http://{}/metrics", sidecar.admin_address);
    let text = reqwest::get(metrics).await.unwrap().text().await.unwrap();
    assert!(text.contains("hooktrestle_running_requests 0"), "{text}");
    sidecar.leave(Duration::from_secs(5)).await;
    assert_eq!(ready(sidecar.admin_address).await, 503);
    assert_eq!(ready(fleet.gateways["entry-1"].admin_address).await, 200);
}
