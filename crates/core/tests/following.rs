//! Calls that follow a table of the store, and how long ago the table was complete. Guards against a
//! silent connection that is noticed too late, whenever it went silent, and against changes that a
//! gateway takes to be known though no answer has shown them.

mod support;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::follow_calls::Config;
use hooktrestle_core::direct::follow_calls::Connection;
use hooktrestle_core::direct::table_age;
use hooktrestle_core::direct::table_age::TableAge;
use proptest::prelude::*;
use support::seeded;

/// Longest pause between an answer and the next call on its connection.
const MAX_PAUSE_MS: u64 = 1_500;

proptest! {
    #![proptest_config(seeded(2_000, "tests/following.regressions"))]

    /// Guards against a wait that does not count the pause before its call: the connection may have gone
    /// silent with its last answer.
    #[test]
    fn a_silent_connection_is_given_up_before_its_gateway_is_bound(
        current_within_ms in 3_000..60_000_u64,
        timeout_ms in 10..1_500_u64,
        answered_ms in 0..1_000_000_u64,
        pause_ms in 0..=MAX_PAUSE_MS,
    ) {
        let overdue_after = Millis(timeout_ms / 2);
        let config = Config { current_within: Millis(current_within_ms), overdue_after };
        let mut connection = Connection::default();
        connection.record_answer(Millis(answered_ms));
        let sent_at = Millis(answered_ms + pause_ms);
        let call = config.waiting(connection, sent_at);
        prop_assert!(call.timeout >= call.wait + overdue_after);
        prop_assert!(sent_at + call.timeout < Millis(answered_ms + current_within_ms));
        // A new connection has been sound until the call at least.
        connection.record_end();
        let call = config.waiting(connection, sent_at);
        prop_assert!(call.timeout < Millis(current_within_ms));
    }
}

/// Guards against an answer that is read late, after a suspension of its gateway, and is taken for the
/// state of the table at that time.
#[test]
fn an_answer_proves_what_the_store_knew_as_it_was_sent() {
    let (sent_at, wait, read_at) = (Millis(1_000), Millis(2_000), Millis(9_000));
    let mut age = TableAge::default();
    assert_eq!(age.get(read_at), None);
    age.confirm(table_age::proven_by_answer(sent_at, wait, true));
    assert_eq!(age.get(read_at), Some(Millis(8_000)));
    age.confirm(table_age::proven_by_answer(sent_at, wait, false));
    assert_eq!(age.get(read_at), Some(Millis(6_000)));
    age.confirm(Millis(2_500));
    assert_eq!(age.get(read_at), Some(Millis(6_000)), "an earlier time says nothing new");
}
