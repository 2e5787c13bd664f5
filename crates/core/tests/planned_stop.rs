//! Planned stops of a gateway. Guards against requests that are accepted although they may last
//! longer than the process, and against a process that ends before it has read what has arrived.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::planned_stop::Next;
use hooktrestle_core::direct::planned_stop::PlannedStop;
use hooktrestle_core::direct::planned_stop::Requests;
use hooktrestle_core::direct::service_times::Served;

const BEGAN_AT: Millis = Millis(10_000);
const WITHIN: Millis = Millis(8_000);
const CHECK_INTERVAL: Millis = Millis(50);

/// Time of a stop until which callers may send requests that are cut off at its end.
const EXCUSED_UNTIL: Millis = Millis(3_000);

fn stop() -> PlannedStop {
    PlannedStop::new(BEGAN_AT, WITHIN)
}

/// When the process ends if these requests are in flight all the time.
fn end_of(mut stop: PlannedStop, requests: Requests) -> Millis {
    let mut now = BEGAN_AT;
    while stop.check(requests, now) != Next::End {
        now = now + CHECK_INTERVAL;
    }
    now
}

/// What the recent requests of a route took, whose answers are small.
fn took(ms: u64) -> Option<Served> {
    Some(Served { took: Millis(ms), answer_bytes: 2_000 })
}

/// Guards against an accepted request that may last longer than the process: its deadline is later,
/// and nothing shows that requests of its route take less time than is left.
#[test]
fn a_request_is_accepted_only_if_it_ends_before_the_process() {
    let busy = Requests { in_flight: 1, last_received_at: BEGAN_AT };
    let ends_at = end_of(stop(), busy);
    assert!(ends_at < BEGAN_AT + WITHIN, "before the process is killed");
    let large = |ms| Some(Served { took: Millis(ms), answer_bytes: 1_500_000 });
    for sent_ms in (0..8_000).step_by(10) {
        for limit_ms in [100, 800, 1_500, 4_000, 8_000] {
            let now = BEGAN_AT + Millis(sent_ms);
            let deadline = now + Millis(limit_ms);
            for served in [None, large(50), took(50), took(2_000), took(4_900), took(8_000)] {
                let of_small = served.filter(|served| served.answer_bytes < 10_000);
                let ends_by = of_small.map_or(deadline, |served| deadline.min(now + served.took));
                let accepted = stop().accepts(deadline, served, now);
                assert!(!accepted || ends_by < ends_at, "{sent_ms} {limit_ms} {served:?}");
                let may_outlast = deadline >= ends_at;
                // The process may have handled its signal late.
                let is_late = sent_ms + 400 >= EXCUSED_UNTIL.0;
                assert!(!accepted || !may_outlast || !is_late, "{sent_ms} {limit_ms} {served:?}");
            }
        }
    }
}

/// Guards against refusals of requests that the process can still answer.
#[test]
fn a_request_that_ends_before_the_process_is_accepted() {
    for (sent_ms, limit_ms) in [(3_000, 4_000), (6_000, 800)] {
        let now = BEGAN_AT + Millis(sent_ms);
        assert!(stop().accepts(now + Millis(limit_ms), None, now), "{sent_ms} {limit_ms}");
    }
    for (sent_ms, took_ms) in [(0, 7_000), (1_000, 6_000), (2_400, 4_800)] {
        let now = BEGAN_AT + Millis(sent_ms);
        let deadline = now + Millis(8_000);
        assert!(stop().accepts(deadline, took(took_ms), now), "{sent_ms} {took_ms}");
    }
}

/// Guards against a process that ends with requests unread: it got no processor time, and the check
/// that ends it runs before they are read.
#[test]
fn a_process_that_was_held_up_reads_what_has_arrived_before_it_ends() {
    let mut stop = stop();
    let idle = Requests { in_flight: 0, last_received_at: BEGAN_AT };
    assert_eq!(stop.check(idle, BEGAN_AT + Millis(2_000)), Next::Serve);
    let resumed_at = BEGAN_AT + Millis(4_000);
    assert_eq!(stop.check(idle, resumed_at), Next::Serve, "requests may be unread");
    let read = Requests { in_flight: 1, last_received_at: resumed_at };
    assert_eq!(stop.check(read, resumed_at + CHECK_INTERVAL), Next::Serve, "one was read");
    let ends_at = BEGAN_AT + Millis(7_500);
    assert_eq!(end_of(stop, read), ends_at, "as long as it has no answer");
    let served = Requests { in_flight: 0, last_received_at: resumed_at };
    let served_at = resumed_at + CHECK_INTERVAL + CHECK_INTERVAL;
    assert_eq!(stop.check(served, served_at), Next::Serve, "others may be unread");
    assert_eq!(stop.check(served, served_at + CHECK_INTERVAL), Next::End);
}

/// Guards against a process that refuses callers until the end of its time because they keep coming:
/// while all gateways stop, callers find no other one.
#[test]
fn requests_that_keep_coming_do_not_prolong_a_stop() {
    let mut stop = stop();
    let mut now = BEGAN_AT;
    let arrives = |now| Requests { in_flight: 0, last_received_at: now };
    while stop.check(arrives(now), now) == Next::Serve {
        now = now + CHECK_INTERVAL;
    }
    let last_long_accepted_at = BEGAN_AT + Millis(2_500);
    assert_eq!(now, last_long_accepted_at + Millis(1_000) + CHECK_INTERVAL);
}

/// Guards against a stop that takes longer than it has to, or than it may.
#[test]
fn a_stop_ends_once_it_is_quiet_and_in_time() {
    let idle = Requests { in_flight: 0, last_received_at: Millis::ZERO };
    assert_eq!(end_of(stop(), idle), BEGAN_AT + Millis(3_350));
    let busy = Requests { in_flight: 1, last_received_at: BEGAN_AT };
    assert_eq!(end_of(stop(), busy), BEGAN_AT + Millis(7_500));
}

/// Guards against connections that are closed with requests on them: all requests are answered before
/// the process ends, with time for their answers to be written.
#[test]
fn requests_without_an_answer_get_one_before_the_end() {
    let busy = Requests { in_flight: 1, last_received_at: BEGAN_AT };
    let ends_at = end_of(stop(), busy);
    let mut stop = stop();
    let checks = (BEGAN_AT.0..ends_at.0).step_by(CHECK_INTERVAL.0 as usize);
    let answered_at = checks.map(Millis).find(|now| stop.check(busy, *now) == Next::AnswerAll);
    let left = ends_at.since(answered_at.expect("a time for the last answers"));
    assert!((Millis(100)..=Millis(500)).contains(&left), "{left}");
    assert!(!stop.accepts(ends_at, took(50), answered_at.unwrap()), "no request follows them");
}

/// Guards against answers that are lost because the process got no processor time before its end: it
/// would end at its first check, without a turn to write them.
#[test]
fn a_process_that_was_held_up_writes_answers_before_it_ends() {
    let busy = Requests { in_flight: 1, last_received_at: BEGAN_AT };
    for resumed_ms in (7_310..7_890).step_by(10) {
        let mut stop = stop();
        assert_eq!(stop.check(busy, BEGAN_AT + Millis(6_000)), Next::Serve);
        let mut now = BEGAN_AT + Millis(resumed_ms);
        assert_eq!(stop.check(busy, now), Next::AnswerAll, "{resumed_ms}");
        while stop.check(busy, now) != Next::End {
            now = now + Millis(10);
        }
        let latest = BEGAN_AT + Millis(7_900);
        let delivered_at = BEGAN_AT + Millis(resumed_ms + 200);
        assert_eq!(now, delivered_at.max(BEGAN_AT + Millis(7_500)).min(latest), "{resumed_ms}");
    }
    let mut stop = stop();
    assert_eq!(stop.check(busy, BEGAN_AT + Millis(7_900)), Next::End, "before it is killed");
}

/// Delay of the checks of a process that gets too little processor time.
const CHECK_DELAY: Millis = Millis(20);

/// Guards against answers that are cut off although parts of them still arrive: the process ends while
/// it forwards what its servers sent as it got too little processor time.
#[test]
fn a_process_that_forwards_answers_ends_once_they_stand_still_or_its_time_is_over() {
    for last_ms in (7_000..8_200).step_by(50) {
        let mut stop = stop();
        let (mut now, mut transfers) = (BEGAN_AT, 0);
        loop {
            transfers += u64::from(now <= BEGAN_AT + Millis(last_ms));
            stop.record_delay(CHECK_DELAY);
            stop.record_transfers(transfers, now);
            if stop.check(Requests { in_flight: 1, last_received_at: BEGAN_AT }, now) == Next::End {
                break;
            }
            now = now + CHECK_INTERVAL;
        }
        let ends_ms = (last_ms + 100).clamp(7_500, 7_900);
        assert_eq!(now, BEGAN_AT + Millis(ends_ms), "{last_ms}");
    }
}

/// Guards against a process that is killed because it handled the signal late, and uses up the time that
/// is left for that: a stream that does not end would keep it although its checks are in time.
#[test]
fn a_process_whose_checks_are_in_time_keeps_the_rest_of_the_stop_time() {
    let mut stop = stop();
    let busy = Requests { in_flight: 1, last_received_at: BEGAN_AT };
    let mut now = BEGAN_AT;
    while now < BEGAN_AT + Millis(7_500) {
        stop.record_delay(CHECK_DELAY - Millis(1));
        stop.record_transfers(now.0, now);
        assert_ne!(stop.check(busy, now), Next::End);
        now = now + CHECK_INTERVAL;
    }
    stop.record_transfers(now.0, now);
    assert_eq!(stop.check(busy, now), Next::End);
}

/// Guards against a stop that takes longer than it has to, because it waits for answers to stand still
/// although all are complete.
#[test]
fn a_process_whose_answers_are_complete_does_not_wait_for_them_to_stand_still() {
    let mut stop = stop();
    let busy = Requests { in_flight: 1, last_received_at: BEGAN_AT };
    let mut now = BEGAN_AT;
    while now < BEGAN_AT + Millis(7_500) {
        stop.record_transfers(now.0, now);
        assert_ne!(stop.check(busy, now), Next::End);
        now = now + CHECK_INTERVAL;
    }
    stop.record_transfers(now.0, now);
    assert_eq!(stop.check(Requests { in_flight: 0, ..busy }, now), Next::End);
}

/// Guards against a process that is killed as it exits, because it gets too little processor time: each
/// of its checks is late, and so is its exit.
#[test]
fn a_process_whose_checks_are_late_ends_earlier() {
    for (delay_ms, margin_ms) in [(20, 120), (45, 145), (1_000, 200)] {
        let mut stop = stop();
        let busy = Requests { in_flight: 1, last_received_at: BEGAN_AT };
        // Delays before the end of the stop do not tell how long the exit takes.
        stop.record_delay(Millis(3_000));
        let mut now = BEGAN_AT + Millis(7_300);
        loop {
            stop.record_transfers(now.0, now);
            if stop.check(busy, now) == Next::End {
                break;
            }
            stop.record_delay(Millis(delay_ms));
            now = now + Millis(1);
        }
        assert_eq!(now, BEGAN_AT + WITHIN.since(Millis(margin_ms)), "{delay_ms}");
        assert!(stop.may_forward(now + Millis(49)) && !stop.may_forward(now + Millis(50)));
    }
}

/// Guards against a process that is killed while it forwards its last answers.
#[test]
fn a_process_that_ends_forwards_what_has_arrived_while_there_is_time() {
    let stop = stop();
    assert!(stop.may_forward(BEGAN_AT + Millis(7_900)));
    assert!(!stop.may_forward(BEGAN_AT + Millis(7_950)), "it has to exit");
}
