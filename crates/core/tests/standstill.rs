//! When a process stood still.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::standstill::LEAST;
use hooktrestle_core::standstill::Standstill;

fn read_each(span: Millis, times: u64, from: Millis, standstill: &mut Standstill) -> Millis {
    (1..=times).fold(from, |_, number| {
        let now = from + Millis(span.0 * number);
        standstill.read(now);
        now
    })
}

#[test]
fn a_gap_between_readings_is_a_standstill_until_it_is_long_ago() {
    let mut standstill = Standstill::default();
    let before = read_each(Millis(600), 10, Millis::ZERO, &mut standstill);
    assert_eq!(standstill.ended_within(Millis::MAX, before), None);
    let woke = before + Millis(9_000);
    standstill.read(woke);
    let within = Millis(3_000);
    assert_eq!(standstill.ended_within(within, woke), Some(Millis(9_000)));
    let later = read_each(Millis(600), 4, woke, &mut standstill);
    assert_eq!(standstill.ended_within(within, later), Some(Millis(9_000)));
    let later = read_each(Millis(600), 1, later, &mut standstill);
    assert_eq!(standstill.ended_within(within, later), None, "{later}");
}

#[test]
fn a_slow_start_and_a_busy_second_are_none() {
    let mut standstill = Standstill::default();
    standstill.read(Millis(5_000));
    standstill.read(Millis(5_000) + LEAST - Millis(1));
    assert_eq!(standstill.ended_within(Millis::MAX, Millis(7_000)), None);
}
