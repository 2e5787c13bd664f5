//! How many streams are admitted, by how long passes take.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::admission::Admission;
use hooktrestle_core::direct::admission::Config;
use hooktrestle_core::direct::admission::Decision;
use hooktrestle_core::direct::admission::LatencyObjective;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const OWED: LatencyObjective = LatencyObjective { pause_ms: 120.0, min_pass_ms: 18.0 };

/// Time until the first event is due, well above what it takes.
const LEFT_MS: f64 = 500.0;

/// Streams that take 2 s, with passes of this length.
fn seen(streams: usize, pass_ms: f64) -> Admission {
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
    let mut admission = seen(16, 60.0);
    assert_eq!(admission.decide(OWED, LEFT_MS, 0.7, NOW), Decision::Admitted);
    // As many as make passes of 120 ms, if each adds as much as the present ones.
    let limit = admission.limit(OWED, NOW).expect("passes were seen");
    assert!((limit - 16.0 * 102.0 / 42.0).abs() < 0.1, "{limit}");
}

#[test]
fn streams_beyond_what_passes_bear_are_sent_away_one_after_the_other() {
    let mut admission = seen(20, 150.0);
    let mut told = Vec::new();
    for _ in 0..4 {
        match admission.decide(OWED, LEFT_MS, 0.8, NOW) {
            Decision::Refused(after) => told.push(after),
            other => panic!("{other:?}"),
        }
    }
    assert!(told.windows(2).all(|pair| pair[0] < pair[1]), "{told:?}");
    for _ in 0..100 {
        if let Decision::Refused(after) = admission.decide(OWED, LEFT_MS, 0.8, NOW) {
            assert!(after <= Config::default().max_retry_after);
        }
    }
}

#[test]
fn a_request_whose_turn_comes_in_time_waits() {
    let mut admission = seen(20, 122.0);
    assert_eq!(admission.decide(OWED, LEFT_MS, 0.8, NOW), Decision::Waits);
    assert!(!admission.has_room(OWED, NOW));
    admission.ended(Some(2_000.0));
    admission.ended(Some(2_000.0));
    assert!(admission.has_room(OWED, NOW));
    assert!(matches!(seen(20, 122.0).decide(OWED, 210.0, 0.8, NOW), Decision::Refused(_)));
}

#[test]
fn nothing_is_refused_where_it_is_not_the_streams_that_make_passes_long() {
    let few = seen(20, 150.0).decide(OWED, LEFT_MS, 0.4, NOW);
    assert_eq!(few, Decision::Admitted, "most slots are free");
    let slow_rank = seen(20, 900.0).decide(OWED, LEFT_MS, 0.9, NOW);
    assert_eq!(
        slow_rank,
        Decision::Admitted,
        "passes would be too long with a tenth of the streams"
    );
    let unknown = Admission::new(Config::default()).decide(OWED, LEFT_MS, 0.9, NOW);
    assert_eq!(unknown, Decision::Admitted, "no pass was seen");
    let old = seen(20, 150.0).decide(OWED, LEFT_MS, 0.9, Millis(9_000));
    assert_eq!(old, Decision::Admitted, "the last pass was seen long ago");
}

/// A group in lock-step whose passes take 18 ms and 5 ms for each stream, with streams of 20 passes that
/// come at this rate for 20 s; returns the part of all requests that is answered with no pause above
/// 120 ms.
fn in_time(each_s: f64, admits: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut admission = Admission::new(Config::default());
    // Passes left, whether all were short, and when each stream began.
    let mut streams: Vec<(u32, bool, f64)> = Vec::new();
    let (mut now_ms, mut next_ms) = (0.0, 0.0);
    let (mut asked, mut good) = (0_u32, 0_u32);
    while now_ms < 20_000.0 {
        while next_ms <= now_ms {
            next_ms += -1_000.0 / each_s * rng.random::<f64>().max(1e-9).ln();
            asked += 1;
            let entry = admission.decide(OWED, LEFT_MS, 0.9, Millis(now_ms as u64));
            if !admits || entry == Decision::Admitted {
                admission.began();
                streams.push((20, true, now_ms));
            }
        }
        let pass_ms = 18.0 + 5.0 * streams.len() as f64;
        now_ms += pass_ms;
        for (left, short, since) in &mut streams {
            *left -= 1;
            *short &= pass_ms <= OWED.pause_ms;
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
fn a_group_that_would_collapse_serves_what_it_can_in_time() {
    // Each pass adds to the streams that run: twelve a second are more than such a group ever catches up on.
    assert!(in_time(5.0, false) > 0.95, "{}", in_time(5.0, false));
    assert!(in_time(12.0, false) < 0.1, "{}", in_time(12.0, false));
    assert!(in_time(5.0, true) > 0.95, "{}", in_time(5.0, true));
    assert!(in_time(12.0, true) > 0.5, "{}", in_time(12.0, true));
}
