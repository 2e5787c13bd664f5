//! Tests of the retry-after times for callers while no server can accept their requests. They guard
//! against retries that arrive before an outage is over, since callers retry once or twice, and
//! against retries that all arrive at the same moment.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::outage::Config;
use hooktrestle_core::direct::outage::Outages;

#[test]
fn retry_after_is_the_expected_end_of_an_outage() {
    let mut outages = Outages::new(Config::default());
    assert_eq!(outages.retry_after(Millis(500), 0.0), None, "there is no outage");
    outages.began(Millis(1_000));
    outages.began(Millis(1_500));
    assert_eq!(outages.retry_after(Millis(1_000), 0.0), Some(Millis(2_100)));
    assert_eq!(outages.retry_after(Millis(2_000), 0.0), Some(Millis(1_100)));
    assert_eq!(outages.retry_after(Millis(9_000), 0.0), Some(Millis(800)), "the outage continues");
    outages.ended(Millis(9_000));
    assert_eq!(outages.retry_after(Millis(9_000), 0.0), None);
}

#[test]
fn retry_after_is_spread_over_a_range_by_the_random_fraction() {
    let mut outages = Outages::new(Config::default());
    outages.began(Millis(1_000));
    assert_eq!(outages.retry_after(Millis(2_100), 0.5), Some(Millis(1_125)));
    assert_eq!(outages.retry_after(Millis(1_000), 1.0), Some(Millis(2_600)));
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
    let expected = outages.retry_after(Millis(500_000), 0.0).unwrap();
    assert!((1_000..1_010).contains(&expected.0), "{expected}");
}
