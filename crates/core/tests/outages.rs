//! Tests of the retry-after times for callers while no server can accept their requests. They guard
//! against retries that arrive before an outage is over, since callers retry once or twice, and
//! against retries that all arrive at the same moment.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::outage::Config;
use hooktrestle_core::direct::outage::Outages;

/// Time until a caller's deadline.
const TIME_LEFT: Millis = Millis(8_000);

#[test]
fn retry_after_is_the_expected_end_of_an_outage() {
    let mut outages = Outages::new(Config::default());
    let outages_at = |outages: &Outages, now| outages.retry_after(Millis(now), TIME_LEFT, 0.0);
    assert_eq!(outages_at(&outages, 500), None, "there is no outage");
    outages.began(Millis(1_000));
    outages.began(Millis(1_500));
    assert_eq!(outages_at(&outages, 1_000), Some(Millis(2_100)));
    assert_eq!(
        outages_at(&outages, 2_000),
        Some(Millis(2_338)),
        "1,100, and 1,000 x 2,600 / 2,100"
    );
    assert_eq!(outages_at(&outages, 9_000), Some(Millis(2_600)), "the outage continues");
    outages.ended(Millis(9_000));
    assert_eq!(outages_at(&outages, 9_000), None);
}

/// Guards against callers that all return as an outage ends, together with the new requests: most
/// of them were refused again, or made the others late.
#[test]
fn retries_after_an_outage_are_spread_over_as_long_as_it_lasts() {
    let mut outages = Outages::new(Config::default());
    let began_at = Millis(1_000);
    outages.began(began_at);
    // Ten callers are refused each 10 ms for 2.1 s; each honours a third of 8 s.
    let mut returns = [0; 60];
    for at in (0..2_100).step_by(10).map(|at| began_at + Millis(at)) {
        for number in 0..10 {
            let fraction = (f64::from(number) + 0.5) / 10.0;
            let after = outages.retry_after(at, TIME_LEFT, fraction).expect("an outage");
            assert!(after <= Millis(2_600), "{after} is not waited for");
            let from_start = at + after - began_at;
            assert!(from_start >= Millis(2_100), "{from_start} is before the expected end");
            returns[from_start.0 as usize / 100] += 1;
        }
    }
    // 100 callers were refused in each 100 ms; the first ones have the widest choice.
    assert!(returns.iter().all(|count| *count <= 100), "{returns:?}");
}

/// Guards against callers that are told a time within what they wait for, and are refused again
/// since the outage is not over by then.
#[test]
fn a_time_beyond_what_a_caller_waits_for_is_told_only_if_the_outage_lasts_as_long() {
    let mut outages = Outages::new(Config::default());
    outages.began(Millis(1_000));
    let after = |now, left, fraction| outages.retry_after(Millis(now), Millis(left), fraction);
    assert_eq!(after(1_000, 8_000, 1.0), Some(Millis(2_600)));
    assert_eq!(after(2_050, 8_000, 0.0), Some(Millis(2_350)));
    assert_eq!(after(2_100, 4_500, 1.0), Some(Millis(1_500)), "a third of the time left");
    assert_eq!(after(1_000, 4_500, 1.0), Some(Millis(2_100)), "none lies within");
}

#[test]
fn the_expected_length_of_an_outage_follows_earlier_outages() {
    let mut outages = Outages::new(Config::default());
    for round in 0..20 {
        outages.began(Millis(10_000 * round));
        outages.ended(Millis(10_000 * round + 1_000));
        outages.began(Millis(10_000 * round + 5_000));
        outages.ended(Millis(10_000 * round + 5_020));
    }
    outages.began(Millis(500_000));
    let expected = outages.retry_after(Millis(500_000), TIME_LEFT, 0.0).unwrap();
    assert!((1_000..1_010).contains(&expected.0), "{expected}");
}
