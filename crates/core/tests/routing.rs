//! Choice of a backend server: turns by weight, the effect of load reports, and excluded servers.
//!
//! Guards against uneven shares, reports that order the servers for all gateways alike, requests to
//! servers that are drained, leaving, unlinked or tried, and a flood of requests to a server that
//! becomes available again.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::routing::Candidate;
use hooktrestle_core::routing::Config;
use hooktrestle_core::routing::Report;
use hooktrestle_core::routing::choose;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

fn candidates(weights: &[u32]) -> Vec<Candidate> {
    let candidate =
        |weight: &u32| Candidate { weight: *weight, usable: true, ..Candidate::default() };
    weights.iter().map(candidate).collect()
}

fn counts(candidates: &mut [Candidate], now: Millis, requests: usize) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..requests {
        let chosen = choose(&Config::default(), candidates, &[], 1.0, now, &mut rng).unwrap();
        candidates[chosen].ended();
        counts[chosen] += 1;
    }
    counts
}

#[test]
fn requests_are_distributed_in_proportion_to_weights() {
    assert_eq!(counts(&mut candidates(&[1, 1, 1, 1]), Millis(0), 40), [10, 10, 10, 10]);
    let weighted = counts(&mut candidates(&[100, 200, 100]), Millis(0), 400);
    assert!(weighted[1].abs_diff(200) <= 2 && weighted[0].abs_diff(100) <= 2, "{weighted:?}");
}

#[test]
fn a_much_busier_server_gets_fewer_requests_while_its_report_is_fresh() {
    let mut busy = candidates(&[1, 1, 1, 1]);
    busy[2].report = Report { at: Millis(1_000), queued_requests: 60, ..Report::default() };
    let fresh = counts(&mut busy.clone(), Millis(1_000), 40);
    assert!(fresh[2] < 6, "{fresh:?}");
    let faded = counts(&mut busy, Millis(60_000), 40);
    assert_eq!(faded, [10, 10, 10, 10]);
}

#[test]
fn small_differences_between_reports_do_not_change_the_distribution() {
    let mut near = candidates(&[1, 1, 1, 1]);
    near[1].report = Report { at: Millis(5), running_requests: 5, ..Report::default() };
    assert_eq!(counts(&mut near, Millis(5), 40), [10, 10, 10, 10]);
}

#[test]
fn servers_that_are_drained_leaving_unusable_or_tried_are_not_chosen() {
    let mut all = candidates(&[1, 0, 1, 1, 1]);
    all[2].report.leaving = true;
    all[3].usable = false;
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..20 {
        let chosen = choose(&Config::default(), &mut all, &[4], 1.0, Millis(0), &mut rng);
        assert_eq!(chosen, Some(0));
    }
    assert_eq!(choose(&Config::default(), &mut all, &[0, 4], 1.0, Millis(0), &mut rng), None);
}

#[test]
fn a_server_that_becomes_usable_again_is_not_flooded() {
    let mut all = candidates(&[1, 1, 1, 1]);
    all[3].usable = false;
    counts(&mut all, Millis(0), 3_000);
    all[3].usable = true;
    let back = counts(&mut all, Millis(0), 40);
    assert!(back[3] <= 12, "{back:?}");
}
