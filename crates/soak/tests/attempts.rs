//! Guards against bounds on attempts that miss requests at too many servers or with too much time,
//! or count what is allowed.

use std::collections::HashMap;
use std::time::Duration;

use hooktrestle_soak::attempts::Attempt;
use hooktrestle_soak::attempts::Excess;
use hooktrestle_soak::attempts::SentRequest;
use hooktrestle_soak::attempts::excess;
use tokio::time::Instant;

const DEADLINE: Duration = Duration::from_secs(3);

/// Requests that were sent now, each with attempts at these servers after these milliseconds, with
/// this deadline in milliseconds.
fn excess_of(requests: usize, attempts: &[(&str, u64, Option<u64>)]) -> Excess {
    let at = Instant::now();
    let ids = || (0..requests).map(|number| format!("r{number}"));
    let sent: HashMap<String, SentRequest> =
        ids().map(|id| (id, SentRequest { at, deadline: DEADLINE })).collect();
    let attempts = ids().flat_map(|id| {
        attempts.iter().map(move |(server, after_ms, deadline_ms)| Attempt {
            id: id.clone(),
            server: (*server).to_owned(),
            at: at + Duration::from_millis(*after_ms),
            deadline: deadline_ms.map(Duration::from_millis),
            ran: true,
        })
    });
    excess(&sent, attempts.collect(), 2)
}

#[test]
fn requests_at_more_servers_than_their_route_allows_are_counted() {
    let three = [("s1", 0, Some(3_000)), ("s2", 100, Some(2_900)), ("s3", 200, Some(2_800))];
    assert_eq!(excess_of(4, &three[..2]).over_attempts, 0);
    assert!(!excess_of(3, &three).exceeds_attempts());
    assert!(excess_of(4, &three).exceeds_attempts());
    let again = [("s1", 0, Some(3_000)), ("s1", 100, Some(2_900)), ("s1", 200, Some(2_800))];
    assert_eq!(excess_of(4, &again).over_attempts, 0, "at one server");
}

#[test]
fn attempts_with_more_time_than_is_left_are_counted() {
    let late = |deadline_ms| [("s1", 0, Some(3_000)), ("s2", 1_000, deadline_ms)];
    let found = excess_of(21, &late(Some(2_000)));
    assert_eq!((found.over_time, found.timed), (0, 21));
    assert!(excess_of(21, &late(Some(3_000))).exceeds_time(), "a deadline that starts anew");
    assert!(!excess_of(20, &late(Some(3_000))).exceeds_time());
    assert!(excess_of(21, &late(None)).exceeds_time(), "no deadline");
    assert!(excess_of(21, &[("s1", 0, Some(4_000))]).exceeds_time(), "longer than the caller's");
}
