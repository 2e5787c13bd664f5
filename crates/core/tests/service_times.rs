//! How long the requests of each route take. Guards against a promise that rests on requests of
//! another route, on old ones, or on none.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::service_times::Served;
use hooktrestle_core::direct::service_times::ServiceTimes;

const AT: Millis = Millis(100_000);

fn served(took_ms: u64, answer_bytes: usize) -> Served {
    Served { took: Millis(took_ms), answer_bytes }
}

#[test]
fn the_longest_request_and_the_largest_answer_of_a_route_count() {
    let mut times = ServiceTimes::default();
    times.record("hints", served(900, 200), AT);
    times.record("hints", served(40, 70_000), AT + Millis(500));
    times.record("files", served(3_000, 10), AT);
    assert_eq!(times.longest("hints", AT + Millis(600)), Some(served(900, 70_000)));
    assert_eq!(times.longest("files", AT + Millis(600)), Some(served(3_000, 10)));
    assert_eq!(times.longest("grids", AT + Millis(600)), None);
}

/// The longest of a route counts for 30 s at least, and is forgotten after 60 s.
#[test]
fn old_requests_are_forgotten_and_recent_ones_are_not() {
    for offset_ms in (0..30_000).step_by(1_000) {
        let mut times = ServiceTimes::default();
        let began_at = AT + Millis(offset_ms);
        times.record("hints", served(5_000, 10), began_at);
        for after_ms in (1_000..=30_000).step_by(1_000) {
            let now = began_at + Millis(after_ms);
            times.record("hints", served(20, 10), now);
            assert_eq!(times.longest("hints", now), Some(served(5_000, 10)), "{offset_ms}");
        }
        for after_ms in (31_000..=60_000).step_by(1_000) {
            times.record("hints", served(20, 10), began_at + Millis(after_ms));
        }
        let now = began_at + Millis(60_000);
        assert_eq!(times.longest("hints", now), Some(served(20, 10)), "{offset_ms}");
        assert_eq!(times.longest("hints", now + Millis(60_000)), None, "{offset_ms}");
    }
}
