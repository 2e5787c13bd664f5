//! Guards against a ledger that misses violations in bursts of callers, or reports false ones:
//! urgent requests that are served less often than others, requests that end by their deadline
//! without being sent to a server, and requests in a server's queue that are taken for run.

use std::time::Duration;

use hooktrestle_soak::ledger::Bounds;
use hooktrestle_soak::ledger::Guarantee;
use hooktrestle_soak::ledger::Ledger;
use hooktrestle_soak::ledger::Verdict;
use hooktrestle_users_standin::caller;
use hooktrestle_users_standin::server::Action;
use hooktrestle_users_standin::server::Server;
use reqwest::Client;
use reqwest::StatusCode;
use tokio::runtime::Builder;
use tokio::task;
use tokio::task::LocalSet;
use tokio::time;

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn violated(ledger: &Ledger) -> Vec<Guarantee> {
    ledger.violations().iter().map(|violation| violation.guarantee).collect()
}

/// A ledger with 100 requests of each priority, of which this many were served.
fn ledger_of(urgent: u32, other: u32) -> Ledger {
    let ledger = Ledger::new(Bounds::default());
    for number in 0..100 {
        ledger.overload.record(0, number < urgent);
        ledger.overload.record(1, number < other);
    }
    ledger.check_overload();
    ledger
}

#[test]
fn urgent_requests_served_less_often_are_a_violation_beyond_chance() {
    assert_eq!(violated(&ledger_of(50, 90)), [Guarantee::Priority]);
    for (urgent, other) in [(90, 50), (60, 60), (55, 60), (0, 0), (100, 100)] {
        let ledger = ledger_of(urgent, other);
        assert_eq!(violated(&ledger), [], "{urgent} of 100 and {other} of 100");
        assert!(ledger.check_counts().contains_key(&Guarantee::Priority));
    }
}

#[test]
fn a_request_held_until_its_deadline_is_a_violation_unless_a_server_got_it() {
    run(async {
        let ledger = Ledger::new(Bounds::default());
        let server = Server::start("s1").await;
        ledger.watch_server(&server);
        for id in ["sent", "held"] {
            ledger.record_request(id, true);
            ledger.overload.record(0, false);
            ledger.overload.record_timed_out(id);
        }
        let sent = caller::request(&Client::new(), server.address, "/rush/9", "sent", 1_000);
        sent.send().await.unwrap();
        ledger.poll();
        ledger.check_overload();
        assert_eq!(violated(&ledger), [Guarantee::Offered]);
        assert!(ledger.violations()[0].detail.contains("held"));
    });
}

/// One request has the only slot, one waits, and a third one is refused. The one that waits has not
/// run until it begins; if its caller was told that it did not run, that is a violation from then.
#[test]
fn a_request_in_the_queue_of_a_server_has_run_once_it_begins() {
    run(async {
        let ledger = Ledger::new(Bounds::default());
        let server = Server::start("s1").await;
        server.set_default_action(Action::Work);
        server.limit_slots(Some((1, 1)));
        ledger.watch_server(&server);
        let mut sent = Vec::new();
        for id in ["first", "second", "third"] {
            ledger.record_request(id, true);
            let request = caller::request(&Client::new(), server.address, "/once/200", id, 1_000);
            sent.push(task::spawn_local(async move { request.send().await.unwrap().status() }));
            time::sleep(Duration::from_millis(40)).await;
        }
        ledger.record_verdict("second", Verdict::NotRun);
        ledger.record_verdict("third", Verdict::NotRun);
        ledger.poll();
        assert_eq!(violated(&ledger), []);
        let mut statuses = Vec::new();
        for one in sent {
            statuses.push(one.await.unwrap());
        }
        assert_eq!(statuses, [StatusCode::OK, StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE]);
        ledger.poll();
        assert_eq!(violated(&ledger), [Guarantee::NotRun]);
    });
}
