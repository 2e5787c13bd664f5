//! Tests of waits across a suspension of the machine.
//!
//! Timers stop during a suspension while the boot-time clock continues. A wait that relies on one
//! timer alone would end late by the whole time of the suspension.

use std::cell::Cell;
use std::future;
use std::time::Duration;

use hooktrestle_clock::Elapsed;
use hooktrestle_clock::MAX_SLEEP;
use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use tokio::runtime::Builder;
use tokio::time;
use tokio::time::Instant;

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static START: Instant = Instant::now();
}

/// Time of the timers plus the time suspended.
fn with_suspended_time() -> Duration {
    START.with(Instant::elapsed) + SUSPENDED.get()
}

fn suspend(span: Duration) {
    SUSPENDED.set(SUSPENDED.get() + span);
}

/// Runs a test with paused timers, which advance only to the next time that is waited for.
fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn the_process_clock_advances_with_the_monotonic_clock() {
    let clock = ProcessClock::default();
    let before = clock.now();
    let started = std::time::Instant::now();
    while started.elapsed() < Duration::from_millis(5) {
        std::hint::spin_loop();
    }
    assert!(clock.now() >= before + Millis(4));
}

#[test]
fn a_sleep_that_spans_a_suspension_ends_at_the_next_poll() {
    run(async {
        let clock = ProcessClock::with_source(with_suspended_time);
        let due = clock.now() + Millis(60_000);
        let began = Instant::now();
        let sleeps = clock.sleep_until(due);
        let suspends = async {
            time::sleep(Duration::from_millis(100)).await;
            suspend(Duration::from_secs(90));
        };
        tokio::join!(sleeps, suspends);
        assert!(began.elapsed() <= MAX_SLEEP, "{:?} awake", began.elapsed());
    });
}

#[test]
fn a_sleep_without_a_suspension_ends_at_its_due_time() {
    run(async {
        let clock = ProcessClock::with_source(with_suspended_time);
        let began = Instant::now();
        clock.sleep_until(clock.now() + Millis(2_345)).await;
        assert_eq!(began.elapsed(), Duration::from_millis(2_345));
    });
}

#[test]
fn a_future_that_is_ready_at_the_deadline_does_not_time_out() {
    run(async {
        let clock = ProcessClock::with_source(with_suspended_time);
        let past = clock.now();
        suspend(Duration::from_secs(5));
        assert_eq!(clock.timeout_at(past, future::ready(7)).await, Ok(7));
        assert_eq!(clock.timeout_at(past, future::pending::<u8>()).await, Err(Elapsed));
    });
}
