//! Tests of the admission queue on a paused clock.
//!
//! They guard against queued streams that are admitted in the wrong order, held beyond the time in
//! which their first event can be in time, or counted after their caller has left. Ten streams run
//! with passes just above the objective of 120 ms (121 ms: a new request is queued) or far above it
//! (400 ms: it is refused).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::admission::LatencyObjective;
use hooktrestle_direct::admission_queue::AdmissionQueue;
use hooktrestle_direct::admission_queue::AdmissionRequest;
use hooktrestle_direct::admission_queue::AdmittedStream;
use tokio::runtime::Builder;
use tokio::task;
use tokio::task::LocalSet;
use tokio::time;
use tokio::time::Instant;

const OBJECTIVE: LatencyObjective = LatencyObjective { pause_ms: 120.0, min_pass_ms: 18.0 };

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A clock that is paused and advanced together with the timers of the runtime.
fn timer_clock() -> ProcessClock {
    thread_local! {
        static START: Instant = Instant::now();
    }
    ProcessClock::with_source(|| START.with(Instant::elapsed))
}

fn request(clock: ProcessClock, priority: u8, left_ms: u64) -> AdmissionRequest {
    let now = clock.now();
    AdmissionRequest {
        objective: OBJECTIVE,
        priority,
        deadline: now + Millis(left_ms),
        first_event_due: now + Millis(500),
        busy_fraction: 0.9,
    }
}

fn record_event(streams: &mut [AdmittedStream]) {
    for stream in streams {
        stream.record_event();
    }
}

/// A queue with ten admitted streams whose passes take `pass_ms`, after ten streams of 0.2 s each.
async fn queue_with_streams(
    clock: ProcessClock,
    pass_ms: u64,
) -> (Rc<AdmissionQueue>, Vec<AdmittedStream>) {
    let queue = AdmissionQueue::new(clock);
    for _ in 0..10 {
        let mut earlier = queue.admit(request(clock, 1, 8_000)).await.unwrap();
        earlier.record_event();
        time::advance(Duration::from_millis(200)).await;
    }
    let mut streams = Vec::new();
    for _ in 0..10 {
        streams.push(queue.admit(request(clock, 1, 8_000)).await.unwrap());
    }
    for _ in 0..20 {
        record_event(&mut streams);
        time::advance(Duration::from_millis(pass_ms)).await;
    }
    record_event(&mut streams);
    (queue, streams)
}

#[test]
fn waiting_requests_are_admitted_by_priority_then_by_deadline() {
    run(async {
        let clock = timer_clock();
        let (queue, mut streams) = queue_with_streams(clock, 121).await;
        let order = Rc::new(RefCell::new(Vec::new()));
        for (name, priority, left_ms) in
            [("late", 1, 8_000), ("urgent", 0, 8_000), ("early", 1, 5_000)]
        {
            let (queue, order) = (queue.clone(), order.clone());
            task::spawn_local(async move {
                let stream = queue.admit(request(clock, priority, left_ms)).await;
                order.borrow_mut().push((name, stream.is_ok()));
                std::future::pending::<()>().await;
            });
            task::yield_now().await;
        }
        assert!(order.borrow().is_empty(), "{order:?}: all of them wait");
        streams.truncate(6);
        for _ in 0..10 {
            task::yield_now().await;
        }
        assert_eq!(*order.borrow(), [("urgent", true), ("early", true), ("late", true)]);
    });
}

#[test]
fn a_request_is_admitted_after_its_maximum_wait() {
    run(async {
        let clock = timer_clock();
        let (queue, _streams) = queue_with_streams(clock, 121).await;
        let began = clock.now();
        assert!(queue.admit(request(clock, 1, 8_000)).await.is_ok());
        let waited = clock.now().since(began);
        assert!((1..=500).contains(&waited.0), "{waited}");
    });
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    run(async {
        let clock = timer_clock();
        let (queue, streams) = queue_with_streams(clock, 400).await;
        let began = clock.now();
        let after = queue.admit(request(clock, 1, 8_000)).await.expect_err("ten are too many");
        assert_eq!(clock.now(), began);
        assert!(after > Millis::ZERO);
        drop(streams);
        assert!(queue.admit(request(clock, 1, 8_000)).await.is_ok());
    });
}

#[test]
fn a_cancelled_waiting_request_takes_no_capacity() {
    run(async {
        let clock = timer_clock();
        let (queue, mut streams) = queue_with_streams(clock, 121).await;
        let admitted = Rc::new(RefCell::new(Vec::new()));
        let mut waiting = Vec::new();
        for name in ["leaves", "stays"] {
            let (queue, admitted) = (queue.clone(), admitted.clone());
            waiting.push(task::spawn_local(async move {
                let stream = queue.admit(request(clock, 1, 8_000)).await;
                admitted.borrow_mut().push((name, stream.is_ok()));
                std::future::pending::<()>().await;
            }));
            task::yield_now().await;
        }
        assert!(admitted.borrow().is_empty(), "{admitted:?}: both wait");
        // The caller has closed its connection: the task that serves the request is dropped.
        waiting[0].abort();
        streams.truncate(6);
        for _ in 0..10 {
            task::yield_now().await;
        }
        assert_eq!(*admitted.borrow(), [("stays", true)]);
    });
}

#[test]
fn admit_all_admits_all_waiting_requests_at_once() {
    run(async {
        let clock = timer_clock();
        let (queue, _streams) = queue_with_streams(clock, 121).await;
        let began = clock.now();
        let waiting = [1, 0].map(|priority| {
            let queue = queue.clone();
            task::spawn_local(async move { queue.admit(request(clock, priority, 8_000)).await })
        });
        task::yield_now().await;
        assert!(waiting.iter().all(|one| !one.is_finished()), "both wait");
        queue.admit_all();
        for one in waiting {
            assert!(one.await.unwrap().is_ok());
        }
        assert_eq!(clock.now(), began);
    });
}
