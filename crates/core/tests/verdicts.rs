//! Random schedules of events at gateways and sidecars, checked after each event.
//!
//! Guards against a verdict "not run" for a request that ran, a second run of a request that must
//! run once, and incomplete answers. They come about through cut links, restarts, deadlines,
//! callers that disconnect and late messages, in any order. Worlds with a known flaw show that the
//! checks detect it.

mod schedule;
mod support;

use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;
use schedule::Event;
use schedule::Flaw;
use schedule::World;
use support::seeded;

fn event() -> impl Strategy<Value = Event> {
    let index = 0_usize..16;
    prop_oneof![
        6 => (index.clone(), any::<u8>()).prop_map(|(gateway, kind)| Event::Call { gateway, kind }),
        3 => (index.clone(), index.clone()).prop_map(|(gateway, job)| Event::CallAgain { gateway, job }),
        12 => index.clone().prop_map(Event::DeliverUp),
        12 => index.clone().prop_map(Event::DeliverDown),
        3 => index.clone().prop_map(Event::Cut),
        5 => index.clone().prop_map(Event::Reconnect),
        2 => index.clone().prop_map(Event::SidecarDetectsLoss),
        12 => (index.clone(), index.clone(), any::<u8>())
            .prop_map(|(sidecar, pick, how)| Event::Run { sidecar, pick, how }),
        1 => index.clone().prop_map(Event::RestartSidecar),
        1 => index.clone().prop_map(Event::Leave),
        1 => index.clone().prop_map(Event::Stay),
        2 => any::<u8>().prop_map(Event::AdvanceTime),
        1 => index.clone().prop_map(|call| Event::Deadline { call }),
        1 => index.prop_map(|call| Event::CallerGone { call }),
        1 => Just(Event::AdvanceTime(1)),
    ]
}

fn schedules() -> impl Strategy<Value = Vec<Event>> {
    proptest::collection::vec(event(), 1..250)
}

/// Whether the checks fail for some schedule in a world with this flaw.
fn is_caught(flaw: Flaw) -> bool {
    let config = ProptestConfig { failure_persistence: None, ..seeded(2_000, "") };
    let ran = TestRunner::new(config).run(&schedules(), |events| {
        let mut world = World::new(flaw);
        for event in events {
            world.apply(event);
            prop_assert!(world.check().is_ok());
        }
        Ok(())
    });
    matches!(ran, Err(TestError::Fail(..)))
}

#[test]
fn the_checks_detect_a_gateway_that_retries_on_any_error() {
    assert!(is_caught(Flaw::RetriesAnyError));
}

#[test]
fn the_checks_detect_a_sidecar_that_accepts_frames_of_an_older_link() {
    assert!(is_caught(Flaw::IgnoresEpochs));
}

#[test]
fn the_checks_detect_a_restarted_sidecar_that_keeps_its_incarnation() {
    assert!(is_caught(Flaw::KeepsIncarnation));
}

#[test]
fn the_checks_detect_a_caller_that_accepts_frames_of_an_older_attempt() {
    assert!(is_caught(Flaw::ForwardsAnyAttempt));
}

proptest! {
    #![proptest_config(seeded(1_000, "tests/verdicts.regressions"))]

    #[test]
    fn verdicts_are_true_in_all_schedules(events in schedules()) {
        let mut world = World::new(Flaw::None);
        for event in &events {
            world.apply(*event);
            let checked = world.check();
            prop_assert!(checked.is_ok(), "after {event:?}: {}", checked.unwrap_err());
        }
    }
}
