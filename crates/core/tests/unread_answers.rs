//! Guards against a gateway whose memory is taken by callers that do not read their answers, and
//! against callers that are closed for the slowness of others.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::unread_answers::Config;
use hooktrestle_core::direct::unread_answers::ReaderId;
use hooktrestle_core::direct::unread_answers::UnreadAnswers;
use proptest::prelude::*;

const CONFIG: Config = Config { budget_bytes: 100, stream_stall_timeout: Millis(2_000) };
const IDLE_TIMEOUT: Millis = Millis(15_000);

#[test]
fn beyond_the_budget_the_callers_that_stalled_first_are_closed() {
    let mut unread = UnreadAnswers::new(CONFIG);
    let [late, early, reading] = [(); 3].map(|()| unread.open());
    unread.record_stall(early, Millis(10));
    unread.record_stall(late, Millis(20));
    assert_eq!(unread.hold(late, 40), []);
    assert_eq!(unread.hold(early, 40), []);
    assert_eq!(unread.hold(reading, 30), [early], "110 bytes were held");
    assert_eq!(unread.held_bytes(), 70);
    assert_eq!(unread.hold(reading, 100), [late], "a caller that reads is not closed");
    assert_eq!(unread.held_bytes(), 130);
}

#[test]
fn a_stalled_caller_is_closed_early_only_while_its_stream_is_under_way() {
    let mut unread = UnreadAnswers::new(CONFIG);
    let caller = unread.open();
    unread.hold(caller, 10);
    assert_eq!(unread.stall_ends_at(caller, IDLE_TIMEOUT), None, "it reads");
    unread.record_stall(caller, Millis(100));
    unread.record_stall(caller, Millis(200));
    assert_eq!(unread.stall_ends_at(caller, IDLE_TIMEOUT), Some(Millis(15_100)));
    unread.set_streaming(caller, true);
    assert_eq!(unread.stall_ends_at(caller, IDLE_TIMEOUT), Some(Millis(2_100)));
    unread.record_read(caller, 1);
    assert_eq!(unread.stall_ends_at(caller, IDLE_TIMEOUT), None, "it reads again");
}

/// Guards against a complete answer that is dropped while its caller still waits for it.
#[test]
fn a_complete_answer_is_held_until_the_deadline_of_its_caller() {
    let mut unread = UnreadAnswers::new(CONFIG);
    let caller = unread.open();
    unread.hold(caller, 10);
    unread.record_stall(caller, Millis(100));
    unread.set_deadline(caller, Some(Millis(40_000)));
    assert_eq!(unread.stall_ends_at(caller, IDLE_TIMEOUT), Some(Millis(40_000)));
    unread.set_deadline(caller, Some(Millis(9_000)));
    assert_eq!(unread.stall_ends_at(caller, IDLE_TIMEOUT), Some(Millis(15_100)));
    unread.set_streaming(caller, true);
    assert_eq!(unread.stall_ends_at(caller, IDLE_TIMEOUT), Some(Millis(2_100)));
}

proptest! {
    /// The bytes held are those of the open callers, and beyond the budget only if all read.
    #[test]
    fn held_bytes_are_within_the_budget_unless_all_callers_read(
        steps in prop::collection::vec((0_usize..6, 0_u8..5, 1_usize..60), 1..80),
    ) {
        let mut unread = UnreadAnswers::new(CONFIG);
        let ids: Vec<ReaderId> = (0..6).map(|_| unread.open()).collect();
        // For each caller: bytes held for it, and whether it stalls; `None` once it is closed.
        let mut expected: Vec<Option<(usize, bool)>> = vec![Some((0, false)); ids.len()];
        for (time, (index, action, bytes)) in steps.into_iter().enumerate() {
            let id = ids[index];
            match action {
                0 | 1 => {
                    if let Some((held, _)) = &mut expected[index] {
                        *held += bytes;
                    }
                    for closed in unread.hold(id, bytes) {
                        let closed = ids.iter().position(|id| *id == closed).expect("known");
                        prop_assert!(expected[closed].is_some_and(|(_, stalled)| stalled));
                        expected[closed] = None;
                    }
                    let any_stalled = expected.iter().flatten().any(|(held, stalled)| *stalled && *held > 0);
                    prop_assert!(unread.held_bytes() <= CONFIG.budget_bytes || !any_stalled);
                }
                2 => {
                    unread.record_read(id, bytes);
                    if let Some((held, stalled)) = &mut expected[index] {
                        (*held, *stalled) = (held.saturating_sub(bytes), false);
                    }
                }
                3 => {
                    unread.record_stall(id, Millis(time as u64));
                    if let Some((_, stalled)) = &mut expected[index] {
                        *stalled = true;
                    }
                }
                _ => {
                    unread.close(id);
                    expected[index] = None;
                }
            }
            let held: usize = expected.iter().flatten().map(|(held, _)| held).sum();
            prop_assert_eq!(unread.held_bytes(), held);
        }
    }
}
