//! Admission control of streams, by the lengths of passes.
//!
//! Guards against a service that admits more streams than its groups can serve within the latency
//! objective, so that all of them are late, and against refusals where the number of streams is not
//! the cause of long passes.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::admission::Admission;
use hooktrestle_core::direct::admission::Config;
use hooktrestle_core::direct::admission::Decision;
use hooktrestle_core::direct::admission::LatencyObjective;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const OBJECTIVE: LatencyObjective = LatencyObjective { pause_ms: 120.0, min_pass_ms: 18.0 };

/// Time until the first event is due, well above the 200 ms that it takes.
const LEFT_MS: f64 = 500.0;

/// An admission state with this many open streams of 2 s and passes of this length.
fn observed(streams: usize, pass_ms: f64) -> Admission {
    let mut admission = Admission::new(Config::default());
    for _ in 0..30 {
        admission.began();
        admission.record_first_event(200.0);
        admission.ended(Some(2_000.0));
    }
    (0..streams).for_each(|_| admission.began());
    for number in 0..40 {
        admission.record_pass(pass_ms, Millis(100 * number));
    }
    admission
}

const NOW: Millis = Millis(3_900);

#[test]
fn short_passes_admit_more_streams() {
    let mut admission = observed(16, 60.0);
    assert_eq!(admission.decide(OBJECTIVE, LEFT_MS, 0.7, NOW), Decision::Admitted);
    // As many streams as result in passes of 120 ms, if each one adds as much as the open ones.
    let limit = admission.limit(OBJECTIVE, NOW).expect("passes were observed");
    assert!((limit - 16.0 * 102.0 / 42.0).abs() < 0.1, "{limit}");
}

#[test]
fn streams_over_the_limit_are_refused_with_increasing_retry_times() {
    let mut admission = observed(20, 150.0);
    let mut retry_times = Vec::new();
    for _ in 0..4 {
        match admission.decide(OBJECTIVE, LEFT_MS, 0.8, NOW) {
            Decision::Refused(after) => retry_times.push(after),
            other => panic!("{other:?}"),
        }
    }
    assert!(retry_times.windows(2).all(|pair| pair[0] < pair[1]), "{retry_times:?}");
    for _ in 0..100 {
        if let Decision::Refused(after) = admission.decide(OBJECTIVE, LEFT_MS, 0.8, NOW) {
            assert!(after <= Config::default().max_retry_after);
        }
    }
}

#[test]
fn a_request_waits_if_room_is_expected_within_its_time() {
    let mut admission = observed(20, 122.0);
    assert_eq!(admission.decide(OBJECTIVE, LEFT_MS, 0.8, NOW), Decision::Waits);
    assert!(!admission.has_room(OBJECTIVE, NOW));
    admission.ended(Some(2_000.0));
    admission.ended(Some(2_000.0));
    assert!(admission.has_room(OBJECTIVE, NOW));
    assert!(matches!(observed(20, 122.0).decide(OBJECTIVE, 210.0, 0.8, NOW), Decision::Refused(_)));
}

#[test]
fn nothing_is_refused_unless_streams_are_the_cause_of_long_passes() {
    let few = observed(20, 150.0).decide(OBJECTIVE, LEFT_MS, 0.4, NOW);
    assert_eq!(few, Decision::Admitted, "most slots are free");
    let slow_rank = observed(20, 900.0).decide(OBJECTIVE, LEFT_MS, 0.9, NOW);
    assert_eq!(
        slow_rank,
        Decision::Admitted,
        "passes would be too long with a tenth of the streams"
    );
    let unknown = Admission::new(Config::default()).decide(OBJECTIVE, LEFT_MS, 0.9, NOW);
    assert_eq!(unknown, Decision::Admitted, "no pass was observed");
    let old = observed(20, 150.0).decide(OBJECTIVE, LEFT_MS, 0.9, Millis(9_000));
    assert_eq!(old, Decision::Admitted, "the last pass is too old");
}

/// Simulates a group whose passes take 18 ms plus 5 ms for each stream, and streams of 20 passes
/// that arrive at this rate for 20 s. Returns the fraction of all requests that are answered
/// without a pause above 120 ms.
fn fraction_in_time(per_s: f64, admits: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut admission = Admission::new(Config::default());
    // Remaining passes of each stream, whether all its passes were short, and its start.
    let mut streams: Vec<(u32, bool, f64)> = Vec::new();
    let (mut now_ms, mut next_ms) = (0.0, 0.0);
    let (mut asked, mut good) = (0_u32, 0_u32);
    while now_ms < 20_000.0 {
        while next_ms <= now_ms {
            next_ms += -1_000.0 / per_s * rng.random::<f64>().max(1e-9).ln();
            asked += 1;
            let decision = admission.decide(OBJECTIVE, LEFT_MS, 0.9, Millis(now_ms as u64));
            if !admits || decision == Decision::Admitted {
                admission.began();
                streams.push((20, true, now_ms));
            }
        }
        let pass_ms = 18.0 + 5.0 * streams.len() as f64;
        now_ms += pass_ms;
        for (left, short, since) in &mut streams {
            *left -= 1;
            *short &= pass_ms <= OBJECTIVE.pause_ms;
            admission.record_pass(pass_ms, Millis(now_ms as u64));
            if *left == 0 {
                admission.ended(Some(now_ms - *since));
            }
        }
        good += streams.iter().filter(|(left, short, _)| *left == 0 && *short).count() as u32;
        streams.retain(|(left, ..)| *left > 0);
    }
    f64::from(good) / f64::from(asked)
}

#[test]
fn admission_keeps_over_half_of_an_overload_within_the_latency_objective() {
    // Streams that arrive during a pass make the next one longer. With twelve per second the group
    // never catches up.
    assert!(fraction_in_time(5.0, false) > 0.95, "{}", fraction_in_time(5.0, false));
    assert!(fraction_in_time(12.0, false) < 0.1, "{}", fraction_in_time(12.0, false));
    assert!(fraction_in_time(5.0, true) > 0.95, "{}", fraction_in_time(5.0, true));
    assert!(fraction_in_time(12.0, true) > 0.5, "{}", fraction_in_time(12.0, true));
}
