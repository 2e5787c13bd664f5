//! The ledger finds what it is there to find: each kind of broken promise, brought about on purpose.

use std::time::Duration;

use hooktrestle_soak::ledger::Bounds;
use hooktrestle_soak::ledger::Ledger;
use hooktrestle_soak::ledger::Promise;
use hooktrestle_soak::ledger::Through;
use hooktrestle_soak::ledger::Verdict;
use hooktrestle_users_standin::caller;
use hooktrestle_users_standin::server::Action;
use hooktrestle_users_standin::server::Server;
use reqwest::Client;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::Instant;

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Nothing is allowed any time.
fn strict() -> Bounds {
    Bounds::stretched(0)
}

async fn server(ledger: &Ledger) -> Server {
    let server = Server::start("s1").await;
    server.set_default_action(Action::Work);
    ledger.serve(&server);
    server
}

/// A request that reaches a server.
async fn reach(server: &Server, id: &str) {
    let sent = caller::request(&Client::new(), server.address, "/once/0", id, 1_000);
    sent.send().await.unwrap();
}

fn found(ledger: &Ledger) -> Vec<Promise> {
    ledger.look();
    ledger.findings().iter().map(|broken| broken.promise).collect()
}

#[test]
fn a_second_run_of_what_must_not_be_repeated_is_found() {
    run(async {
        let ledger = Ledger::new(Bounds::default());
        let server = server(&ledger).await;
        for (id, repeatable) in [("may", true), ("must-not", false)] {
            ledger.send(id, repeatable);
            reach(&server, id).await;
            assert_eq!(found(&ledger), []);
            reach(&server, id).await;
        }
        assert_eq!(found(&ledger), [Promise::AtMostOnce]);
    });
}

#[test]
fn a_refusal_of_what_runs_is_found_whichever_comes_first() {
    run(async {
        let ledger = Ledger::new(Bounds::default());
        let server = server(&ledger).await;
        ledger.send("before", true);
        reach(&server, "before").await;
        assert_eq!(found(&ledger), []);
        ledger.end("before", Verdict::NotRun);
        ledger.send("after", true);
        ledger.end("after", Verdict::NotRun);
        reach(&server, "after").await;
        assert_eq!(found(&ledger), [Promise::NotRun, Promise::NotRun]);
    });
}

#[test]
fn a_request_that_the_server_refused_has_not_run() {
    run(async {
        let ledger = Ledger::new(Bounds::default());
        let server = server(&ledger).await;
        server.set_default_action(Action::Refuse);
        ledger.send("r1", false);
        reach(&server, "r1").await;
        ledger.end("r1", Verdict::NotRun);
        assert_eq!(found(&ledger), []);
    });
}

#[test]
fn what_nobody_asked_is_found() {
    run(async {
        let ledger = Ledger::new(Bounds::default());
        let server = server(&ledger).await;
        reach(&server, "r1").await;
        assert_eq!(found(&ledger), [Promise::Asked]);
    });
}

#[test]
fn work_for_a_server_that_left_is_found() {
    run(async {
        let ledger = Ledger::new(strict());
        let server = server(&ledger).await;
        ledger.send("r1", true);
        reach(&server, "r1").await;
        ledger.leaves("s1");
        assert_eq!(found(&ledger), []);
        ledger.send("r2", true);
        reach(&server, "r2").await;
        assert_eq!(found(&ledger), [Promise::Drain]);
    });
}

#[test]
fn work_for_a_caller_that_left_is_found_until_its_end() {
    run(async {
        let ledger = Ledger::new(strict());
        let server = server(&ledger).await;
        server.set_default_action(Action::Hang);
        ledger.send("r1", true);
        let asked = server.clone();
        let asks = tokio::task::spawn_local(async move { reach(&asked, "r1").await });
        while server.unfinished().is_empty() {
            tokio::task::yield_now().await;
        }
        assert_eq!(found(&ledger), []);
        ledger.end("r1", Verdict::Left(Instant::now()));
        assert_eq!(found(&ledger), [Promise::Close]);
        asks.abort();
        server.caller_left.notified().await;
        assert_eq!(found(&ledger), [Promise::Close], "once");
    });
}

#[test]
fn too_many_repeats_are_found() {
    run(async {
        let ledger = Ledger::new(Bounds::default());
        let server = server(&ledger).await;
        ledger.send("r1", true);
        for _ in 0..30 {
            reach(&server, "r1").await;
        }
        ledger.judge_repeats();
        assert_eq!(found(&ledger), [Promise::Repeats]);
    });
}

#[test]
fn what_depends_on_time_is_not_judged_while_something_goes_wrong() {
    run(async {
        let ledger = Ledger::new(strict());
        let server = server(&ledger).await;
        let now = Instant::now();
        let kind = "pause".parse().unwrap();
        ledger.trouble(kind, now, now + Duration::from_secs(1));
        ledger.send("r1", true);
        ledger.leaves("s1");
        reach(&server, "r1").await;
        assert_eq!(found(&ledger), []);
    });
}

#[test]
fn a_request_for_a_server_that_asked_this_gateway_for_rest_is_found() {
    run(async {
        let bounds = Bounds { rest: Duration::ZERO, ..Bounds::default() };
        let ledger = Ledger::new(bounds);
        let server = server(&ledger).await;
        let asks = ["30", "soon"].map(|text| Action::RefuseWithBackOff(text.to_owned()));
        server.queue_actions(asks);
        let (one, other) = (Through { gateway: 0, life: 1 }, Through { gateway: 1, life: 1 });
        let sent = [
            ("r1", one),
            ("r2", other),
            ("r3", Through { life: 2, ..one }),
            ("r4", other),
            ("r5", one),
        ];
        for (id, through) in sent {
            ledger.send(id, true);
            ledger.goes_through(id, through);
            reach(&server, id).await;
        }
        // One life of one gateway was asked, and sent one more.
        assert_eq!(found(&ledger), [Promise::Rest]);
    });
}

#[test]
fn a_request_for_a_server_that_told_this_gateway_that_it_leaves_is_found() {
    run(async {
        let ledger = Ledger::new(strict());
        let server = server(&ledger).await;
        server.report_leaving(true);
        let one = Through { gateway: 0, life: 1 };
        for (id, through) in [("r1", one), ("r2", Through { life: 2, ..one }), ("r3", one)] {
            ledger.send(id, true);
            ledger.goes_through(id, through);
            reach(&server, id).await;
        }
        assert_eq!(found(&ledger), [Promise::Parting]);
    });
}

#[test]
fn more_than_a_server_takes_is_found_whichever_gateways_it_comes_through() {
    run(async {
        let ledger = Ledger::new(strict());
        let server = server(&ledger).await;
        server.advertise_limit(Some("0.5"));
        // 0.5 a second allow 8 in 4 s.
        for number in 0..9 {
            assert_eq!(found(&ledger), [], "{number}");
            let id = format!("r{number}");
            ledger.send(&id, false);
            ledger.goes_through(&id, Through { gateway: number % 3, life: 1 });
            reach(&server, &id).await;
        }
        assert_eq!(found(&ledger), [Promise::Limit]);
        server.advertise_limit(None);
        for number in 0..20 {
            let id = format!("free{number}");
            ledger.send(&id, false);
            ledger.goes_through(&id, Through { gateway: number % 3, life: 1 });
            reach(&server, &id).await;
        }
        assert_eq!(found(&ledger), [Promise::Limit], "it names none any more");
    });
}
