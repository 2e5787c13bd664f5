//! `explain` on log lines of gateways.
//!
//! Guards against lost or misread steps: lines of several requests and gateways are mixed, a
//! request ID is the prefix of another, and one line is in a form that the tool cannot parse.

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

/// Lines of two gateways, merged by a log collector, with lines of other requests between them.
const LOG: &str = r#"
  7.1 entry-1 [2026-01-12 02:39:41.025] [info] [journal, a.rs:5] store lost: the store gave no answer in time
  7.2 entry-1 [2026-01-12 02:39:41.107] [info] [journal, a.rs:5] request=r1 {"connection":{"server_number":3,"fresh":true,"unsent":false,"error":"connection closed"}}
  7.2 entry-1 [2026-01-12 02:39:41.107] [info] [journal, a.rs:5] request=r1 {"attempt":{"server_number":3,"sent_number":1,"fate":"may-have-run","next":"give-up"}}
  7.3 entry-2 [2026-01-12 02:39:41.110] [info] [journal, a.rs:5] request=r11 {"attempt":{"server_number":0,"sent_number":1,"fate":"not-run","next":"again"}}
  7.3 entry-1 [2026-01-12 02:39:41.111] [info] [journal, a.rs:5] request=r1 {"refused":{"held_ms":12,"cause":"backend-failed","verdict":"may-have-run"}}
  7.4 entry-2 [2026-01-12 02:39:41.500] [info] [journal, a.rs:5] request=r2 {"rest":{"server_number":4,"asked":"30"}}
  7.4 entry-2 [2026-01-12 02:39:41.600] [info] [journal, a.rs:5] request=r2 {"limit":{"server_number":4,"named":"12.5"}}
  7.4 entry-2 [2026-01-12 02:39:42.000] [info] [journal, a.rs:5] request=r2 {"leave":{"server_number":4,"reason":"slow","after_event_number":7,"next":"again"}}
  7.5 entry-2 [2026-01-12 02:39:42.000] [info] [journal, a.rs:5] request=r3 server=4 in an older form
  7.6 entry-2 [2026-01-12 02:39:42.050] [info] [journal, a.rs:5] request=r5 {"beside":{"server_number":1,"other_server_number":2,"fate":"may-have-run","next":"goes-on"}}
  7.6 entry-2 [2026-01-12 02:39:42.070] [info] [journal, a.rs:5] request=r5 {"beside":{"server_number":2,"other_server_number":1,"next":"given-up"}}
  7.6 entry-2 [2026-01-12 02:39:42.080] [info] [journal, a.rs:5] request=r6 {"resumed":{"server_number":3,"left_server_number":1,"after_event_number":5}}
  7.6 entry-2 [2026-01-12 02:39:42.090] [info] [journal, a.rs:5] request=r6 {"incomplete":{"reason":"process-ended","stage":"forwarding","route":"flow","server_number":3,"server":"s3","answer_bytes":640,"after_event_number":7,"age_ms":8100,"until_deadline_ms":-300,"attempt_open":true,"server_quiet_ms":90,"server_listing":"leaving","stopping_ms":7500}}
  7.6 entry-2 [2026-01-12 02:39:42.100] [info] [journal, a.rs:5] request=r4 {"refused":{"held_ms":0,"cause":"queue-full","verdict":"not-run"}}
"#;

fn explain(arguments: &[&str]) -> Output {
    let mut tool = Command::new(env!("CARGO_BIN_EXE_hooktrestle"))
        .arg("explain")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    tool.stdin.take().unwrap().write_all(LOG.as_bytes()).unwrap();
    tool.wait_with_output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn explain_prints_each_step_and_the_outcome_of_a_failed_request() {
    let output = explain(&["r1"]);
    assert!(output.status.success());
    assert_eq!(
        text(&output.stdout),
        "7.2 entry-1 [2026-01-12 02:39:41.107]  server 3: its new connection failed, the request was \
         sent: connection closed\n\
         7.2 entry-1 [2026-01-12 02:39:41.107]  server 3: no complete answer was received, so it may \
         have run; the gateway gives up\n\
         7.3 entry-1 [2026-01-12 02:39:41.111]  refused after 12 ms: backend-failed (may-have-run)\n\
         It may have run, so it was not retried and the caller got no guarantee. Look whether other \
         requests name the same servers at that time.\n"
    );
}

#[test]
fn explain_shows_a_request_answered_by_the_next_server() {
    let message = text(&explain(&["r2"]).stdout);
    assert!(
        message.contains(
            "server 4 asked to back off for `30` s\n\
             7.4 entry-2 [2026-01-12 02:39:41.600]  server 4 advertised a limit of `12.5` requests a \
             second for all gateways\n\
             7.4 entry-2 [2026-01-12 02:39:42.000]  server 4 was detected as slow, after event 7; \
             another server is tried"
        ),
        "{message}"
    );
    assert!(message.ends_with("the next server answered.\n"), "{message}");
}

#[test]
fn explain_shows_what_follows_for_the_other_one_of_two_attempts() {
    let message = text(&explain(&["r5"]).stdout);
    assert!(
        message.contains(
            "server 1: no complete answer was received, so it may have run; the attempt at server 2 \
             goes on\n\
             7.6 entry-2 [2026-01-12 02:39:42.070]  server 2: it answered; the attempt at server 1 is \
             given up"
        ),
        "{message}"
    );
}

#[test]
fn explain_names_the_metrics_that_show_why_there_was_no_room() {
    let message = text(&explain(&["r4"]).stdout);
    assert!(message.contains("It did not run, and the caller got this guarantee."), "{message}");
    for metric in ["room_streams", "room_open_streams", "admitted_thousandths"] {
        assert!(message.contains(metric), "{message}");
    }
}

#[test]
fn explain_shows_an_answer_that_ended_incomplete() {
    let message = text(&explain(&["r6"]).stdout);
    assert!(
        message.contains(
            "server 3 resumed the stream, after event 5\n\
             7.6 entry-2 [2026-01-12 02:39:42.090]  the answer ended incomplete after 8100 ms, 300 ms \
             after its deadline: the process ended; it was forwarded, 640 bytes, after event 7, from \
             server s3, which is leaving; the gateway had been stopping for 7500 ms\n\
             Its server was at work as the process ended"
        ),
        "{message}"
    );
}

#[test]
fn explain_prints_json_on_request() {
    let steps: serde_json::Value =
        serde_json::from_slice(&explain(&["--json", "r1"]).stdout).unwrap();
    assert_eq!(steps.as_array().map(Vec::len), Some(3));
    assert_eq!(steps[2]["step"]["refused"]["held_ms"], 12);
}

#[test]
fn explain_reports_missing_requests_unparsable_lines_and_missing_files() {
    let missing = explain(&["r9"]);
    assert_eq!(missing.status.code(), Some(1));
    assert!(text(&missing.stderr).contains("no log line about request r9"));
    let older = explain(&["r3"]);
    assert_eq!(older.status.code(), Some(1));
    assert!(text(&older.stderr).contains("1 lines of request r3 could not be parsed"));
    let file = explain(&["r1", "no/such/file"]);
    assert_eq!(file.status.code(), Some(1));
    assert!(text(&file.stderr).contains("no/such/file"), "{}", text(&file.stderr));
}
