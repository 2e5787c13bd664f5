//! Detection of a suspension of the process.
//!
//! Guards against a suspension that is missed, reported after it is too long ago, or reported where
//! the process was only slow to start or busy for a moment.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::suspension::MIN_SUSPENSION;
use hooktrestle_core::suspension::SuspensionDetector;

fn observe_each(
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
fn a_gap_between_clock_readings_is_a_suspension_until_it_is_too_long_ago() {
    let mut suspension = SuspensionDetector::default();
    let before = observe_each(Millis(600), 10, Millis::ZERO, &mut suspension);
    assert_eq!(suspension.ended_within(Millis::MAX, before), None);
    let resumed_at = before + Millis(9_000);
    suspension.observe_clock(resumed_at);
    let within = Millis(3_000);
    assert_eq!(suspension.ended_within(within, resumed_at), Some(Millis(9_000)));
    let later = observe_each(Millis(600), 4, resumed_at, &mut suspension);
    assert_eq!(suspension.ended_within(within, later), Some(Millis(9_000)));
    let later = observe_each(Millis(600), 1, later, &mut suspension);
    assert_eq!(suspension.ended_within(within, later), None, "{later}");
}

#[test]
fn a_slow_start_or_a_brief_gap_is_not_a_suspension() {
    let mut suspension = SuspensionDetector::default();
    suspension.observe_clock(Millis(5_000));
    suspension.observe_clock(Millis(5_000) + MIN_SUSPENSION - Millis(1));
    assert_eq!(suspension.ended_within(Millis::MAX, Millis(7_000)), None);
}
