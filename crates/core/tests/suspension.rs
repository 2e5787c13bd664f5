//! When a process stood still.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::suspension::MIN_SUSPENSION;
use hooktrestle_core::suspension::SuspensionDetector;

fn read_each(
    span: Millis,
    times: u64,
    from: Millis,
    suspension: &mut SuspensionDetector,
) -> Millis {
    (1..=times).fold(from, |_, number| {
        let now = from + Millis(span.0 * number);
        suspension.observe_clock(now);
        now
    })
}

#[test]
fn a_gap_between_readings_is_a_standstill_until_it_is_long_ago() {
    let mut suspension = SuspensionDetector::default();
    let before = read_each(Millis(600), 10, Millis::ZERO, &mut suspension);
    assert_eq!(suspension.ended_within(Millis::MAX, before), None);
    let woke = before + Millis(9_000);
    suspension.observe_clock(woke);
    let within = Millis(3_000);
    assert_eq!(suspension.ended_within(within, woke), Some(Millis(9_000)));
    let later = read_each(Millis(600), 4, woke, &mut suspension);
    assert_eq!(suspension.ended_within(within, later), Some(Millis(9_000)));
    let later = read_each(Millis(600), 1, later, &mut suspension);
    assert_eq!(suspension.ended_within(within, later), None, "{later}");
}

#[test]
fn a_slow_start_and_a_busy_second_are_none() {
    let mut suspension = SuspensionDetector::default();
    suspension.observe_clock(Millis(5_000));
    suspension.observe_clock(Millis(5_000) + MIN_SUSPENSION - Millis(1));
    assert_eq!(suspension.ended_within(Millis::MAX, Millis(7_000)), None);
}
