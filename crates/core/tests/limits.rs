//! Tests of account limits, against a slow reference that counts the requests of each span.
//!
//! Failure guarded against: all gateways together admit more than an account's limit and one burst,
//! or a caller that retries after the given time is refused again.

mod support;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::limits::Limiter;
use hooktrestle_schema::AccountRow;
use hooktrestle_schema::Cause;
use hooktrestle_schema::Verdict;
use proptest::prop_assert;
use proptest::proptest;
use support::seeded;

fn row(requests_per_s: u32, tokens_per_s: u32, in_flight: u32) -> AccountRow {
    AccountRow {
        key_sha256_hex: String::new(),
        limit_in_flight_requests: in_flight,
        limit_requests_per_s: requests_per_s,
        limit_tokens_per_s: tokens_per_s,
        weight: 1,
    }
}

proptest! {
    #![proptest_config(seeded(300, "tests/limits.regressions"))]

    #[test]
    fn admitted_requests_never_exceed_the_limit_and_one_burst_over_all_gateways(
        gaps in proptest::collection::vec(0_u64..40, 10..400),
        limit in 1_u32..200,
        gateways in 1_usize..9,
    ) {
        let mut limiters: Vec<Limiter> = (0..gateways).map(|_| Limiter::default()).collect();
        let row = row(limit, 1_000_000, 1_000_000);
        let mut now = Millis(0);
        let mut admitted: Vec<Millis> = Vec::new();
        for (number, gap) in gaps.iter().enumerate() {
            now = now + Millis(*gap);
            let limiter = &mut limiters[number % gateways];
            match limiter.admit(now, 7, &row, gateways, 1) {
                Ok(()) => admitted.push(now),
                Err(refusal) => {
                    prop_assert!(refusal.cause == Cause::LimitReached);
                    prop_assert!(refusal.verdict == Verdict::NotRun);
                    prop_assert!(refusal.retry_after.is_some());
                }
            }
        }
        for (index, start) in admitted.iter().enumerate() {
            for (count, end) in admitted[index..].iter().enumerate() {
                let span_s = end.since(*start).0 as f64 / 1_000.0;
                // Each gateway's bucket holds at least one request.
                let burst = f64::from(limit).max(gateways as f64);
                let allowed = f64::from(limit) * span_s + burst + 1.0;
                prop_assert!(count as f64 + 1.0 <= allowed, "{} in {span_s} s", count + 1);
            }
        }
    }
}

#[test]
fn a_caller_that_waits_for_retry_after_uses_the_full_limit() {
    let mut limiter = Limiter::default();
    let row = row(10, 1_000, 1_000);
    let mut now = Millis(0);
    let mut admitted = 0;
    while now < Millis(20_000) {
        match limiter.admit(now, 1, &row, 1, 100) {
            Ok(()) => admitted += 1,
            Err(refusal) => now = now + refusal.retry_after.expect("a time to retry after"),
        }
    }
    // 10 in the first burst, then 10 per second.
    assert!((205..=211).contains(&admitted), "{admitted}");
}

#[test]
fn a_request_larger_than_the_bucket_is_admitted_and_delays_later_requests() {
    let mut limiter = Limiter::default();
    let row = row(100, 100, 100);
    assert!(limiter.admit(Millis(0), 1, &row, 1, 1_000).is_ok());
    let refusal = limiter.admit(Millis(1), 1, &row, 1, 1).unwrap_err();
    assert!(refusal.retry_after.expect("a time to retry after") > Millis(8_000));
}

#[test]
fn requests_in_flight_are_counted_until_they_end() {
    let mut limiter = Limiter::default();
    let row = row(1_000, 1_000_000, 2);
    assert!(limiter.admit(Millis(0), 1, &row, 1, 1).is_ok());
    assert!(limiter.admit(Millis(0), 1, &row, 1, 1).is_ok());
    assert!(limiter.admit(Millis(1), 1, &row, 1, 1).is_err());
    limiter.release(Millis(2), 1);
    assert!(limiter.admit(Millis(2), 1, &row, 1, 1).is_ok());
}

#[test]
fn an_account_with_a_limit_of_zero_gets_a_retry_after_of_one_hour() {
    let mut limiter = Limiter::default();
    let row = row(0, 0, 10);
    assert!(limiter.admit(Millis(0), 1, &row, 1, 1).is_ok(), "one request is always in the bucket");
    let refusal = limiter.admit(Millis(1), 1, &row, 1, 1).unwrap_err();
    assert_eq!(refusal.retry_after, Some(Millis(3_600_000)));
}
