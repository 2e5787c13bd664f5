//! Streams that wait for their turn, on a clock that stands still between events.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::admission::LatencyObjective;
use hooktrestle_direct::entrance::Asked;
use hooktrestle_direct::entrance::Entrance;
use hooktrestle_direct::entrance::Permit;
use tokio::runtime::Builder;
use tokio::task;
use tokio::task::LocalSet;
use tokio::time;
use tokio::time::Instant;

const OWED: LatencyObjective = LatencyObjective { pause_ms: 120.0, min_pass_ms: 18.0 };

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A clock that stands still as the timers do.
fn timers_clock() -> ProcessClock {
    thread_local! {
        static START: Instant = Instant::now();
    }
    ProcessClock::reading(|| START.with(Instant::elapsed))
}

fn asked(clock: ProcessClock, priority: u8, left_ms: u64) -> Asked {
    let now = clock.now();
    Asked {
        owed: OWED,
        priority,
        deadline: now + Millis(left_ms),
        first_due: now + Millis(500),
        busy: 0.9,
    }
}

fn saw_event(permits: &mut [Permit]) {
    for permit in permits {
        permit.saw_event();
    }
}

/// An entrance with ten streams whose passes take this long, after others of 0.2 s each.
async fn with_streams(clock: ProcessClock, pass_ms: u64) -> (Rc<Entrance>, Vec<Permit>) {
    let entrance = Entrance::new(clock);
    for _ in 0..10 {
        let mut earlier = entrance.enter(asked(clock, 1, 8_000)).await.unwrap();
        earlier.saw_event();
        time::advance(Duration::from_millis(200)).await;
    }
    let mut permits = Vec::new();
    for _ in 0..10 {
        permits.push(entrance.enter(asked(clock, 1, 8_000)).await.unwrap());
    }
    for _ in 0..20 {
        saw_event(&mut permits);
        time::advance(Duration::from_millis(pass_ms)).await;
    }
    saw_event(&mut permits);
    (entrance, permits)
}

#[test]
fn whoever_waits_is_let_in_by_priority_and_then_by_deadline() {
    run(async {
        let clock = timers_clock();
        let (entrance, mut permits) = with_streams(clock, 121).await;
        let order = Rc::new(RefCell::new(Vec::new()));
        for (name, priority, left_ms) in
            [("late", 1, 8_000), ("urgent", 0, 8_000), ("early", 1, 5_000)]
        {
            let (entrance, order) = (entrance.clone(), order.clone());
            task::spawn_local(async move {
                let permit = entrance.enter(asked(clock, priority, left_ms)).await;
                order.borrow_mut().push((name, permit.is_ok()));
                std::future::pending::<()>().await;
            });
            task::yield_now().await;
        }
        assert!(order.borrow().is_empty(), "{order:?}: all of them wait");
        permits.truncate(6);
        for _ in 0..10 {
            task::yield_now().await;
        }
        assert_eq!(*order.borrow(), [("urgent", true), ("early", true), ("late", true)]);
    });
}

#[test]
fn whoever_has_waited_as_long_as_it_can_is_sent() {
    run(async {
        let clock = timers_clock();
        let (entrance, _permits) = with_streams(clock, 121).await;
        let began = clock.now();
        assert!(entrance.enter(asked(clock, 1, 8_000)).await.is_ok());
        let waited = clock.now().since(began);
        assert!((1..=500).contains(&waited.0), "{waited}");
    });
}

#[test]
fn whoever_would_wait_too_long_is_sent_away_at_once() {
    run(async {
        let clock = timers_clock();
        let (entrance, permits) = with_streams(clock, 400).await;
        let began = clock.now();
        let after = entrance.enter(asked(clock, 1, 8_000)).await.expect_err("ten are too many");
        assert_eq!(clock.now(), began);
        assert!(after > Millis::ZERO);
        drop(permits);
        assert!(entrance.enter(asked(clock, 1, 8_000)).await.is_ok());
    });
}

#[test]
fn whoever_leaves_while_it_waits_takes_no_place() {
    run(async {
        let clock = timers_clock();
        let (entrance, mut permits) = with_streams(clock, 121).await;
        let let_in = Rc::new(RefCell::new(Vec::new()));
        let mut waiting = Vec::new();
        for name in ["leaves", "stays"] {
            let (entrance, let_in) = (entrance.clone(), let_in.clone());
            waiting.push(task::spawn_local(async move {
                let permit = entrance.enter(asked(clock, 1, 8_000)).await;
                let_in.borrow_mut().push((name, permit.is_ok()));
                std::future::pending::<()>().await;
            }));
            task::yield_now().await;
        }
        assert!(let_in.borrow().is_empty(), "{let_in:?}: both wait");
        // Its caller has closed its connection: what was done for it is dropped.
        waiting[0].abort();
        permits.truncate(6);
        for _ in 0..10 {
            task::yield_now().await;
        }
        assert_eq!(*let_in.borrow(), [("stays", true)]);
    });
}

#[test]
fn whoever_waits_is_let_go_at_once_where_no_server_takes_requests() {
    run(async {
        let clock = timers_clock();
        let (entrance, _permits) = with_streams(clock, 121).await;
        let began = clock.now();
        let waiting = [1, 0].map(|priority| {
            let entrance = entrance.clone();
            task::spawn_local(async move { entrance.enter(asked(clock, priority, 8_000)).await })
        });
        task::yield_now().await;
        assert!(waiting.iter().all(|one| !one.is_finished()), "both wait");
        entrance.let_all_go();
        for one in waiting {
            assert!(one.await.unwrap().is_ok());
        }
        assert_eq!(clock.now(), began);
    });
}
