//! Guards against answers lost in a stop that the soak takes for ones that a server broke off, and
//! against the reverse. Each test records one request of a stopping gateway and what servers did with
//! it, and checks the cause that the ledger gives.

use std::time::Duration;

use hooktrestle_soak::ledger::Verdict;
use hooktrestle_soak::losses::Cause;
use hooktrestle_soak::losses::Losses;
use hooktrestle_soak::losses::Outcome;
use hooktrestle_soak::losses::ServerRun;
use tokio::time;
use tokio::time::Instant;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A stream that was sent and lost its answer so long after `start`.
fn outcome(start: Instant, sent: Duration, ended: Duration) -> Outcome {
    Outcome {
        id: "r1".to_owned(),
        gateway: 2,
        sent_at: start + sent,
        ended_at: start + ended,
        time_limit: ms(8_000),
        is_stream: true,
        verdict: Verdict::Closed,
    }
}

/// What a server did from 10 ms after `at` until `ended`, or without an end.
fn run(server: &str, at: Instant, ended: Option<Instant>) -> ServerRun {
    ServerRun { server: server.to_owned(), at: at + ms(10), ended_at: ended, ran: true }
}

#[tokio::test(start_paused = true)]
async fn an_answer_of_a_sound_server_is_lost() {
    let (losses, start) = (Losses::default(), Instant::now());
    losses.record_stop(2);
    let lost = outcome(start, ms(500), ms(3_000));
    assert_eq!(losses.cause(&lost, &[run("s1", lost.sent_at, None)]), Cause::SoundServer);
    // Complete at its server, and not passed on.
    let ended = [run("s1", lost.sent_at, Some(start + ms(1_000)))];
    assert_eq!(losses.cause(&lost, &ended), Cause::SoundServer);
    // A halt is no end.
    losses.record_halt("s1", ms(1_900));
    assert_eq!(losses.cause(&lost, &[run("s1", lost.sent_at, None)]), Cause::SoundServer);
    let runs = [("r1".to_owned(), ended.to_vec())].into();
    losses.record_outcome(Outcome { gateway: 1, ..lost.clone() });
    assert!(losses.lost(&runs).is_empty(), "its gateway does not stop");
    losses.record_outcome(lost.clone());
    assert_eq!(losses.lost(&runs).len(), 1);
    assert!(losses.reached(&runs).contains("0 of 1 halted"), "{}", losses.reached(&runs));
    assert!(losses.reached(&runs).contains("0 of 0 at a leaving server"));
    // It leaves while it runs the stream.
    losses.record_leaving("s1");
    assert!(losses.reached(&runs).contains("0 of 1 at a leaving server"));
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_its_server_broke_off_is_excused() {
    let (losses, start) = (Losses::default(), Instant::now());
    losses.record_stop(2);
    time::advance(ms(2_900)).await;
    losses.record_cut("s1", ms(80));
    losses.record_lost("s3", ms(500));
    let lost = outcome(start, ms(500), ms(3_000));
    let ended = Some(lost.ended_at);
    assert_eq!(losses.cause(&lost, &[run("s1", lost.sent_at, ended)]), Cause::BrokenOff);
    losses.record_crash("s4");
    assert_eq!(losses.cause(&lost, &[run("s4", lost.sent_at, None)]), Cause::BrokenOff);
    // Another server of the group does not excuse it.
    assert_eq!(losses.cause(&lost, &[run("s2", lost.sent_at, ended)]), Cause::SoundServer);
    // Nor does the first server, once a sound one has taken over.
    let resumed = [run("s1", lost.sent_at, ended), run("s2", start + ms(2_850), None)];
    assert_eq!(losses.cause(&lost, &resumed), Cause::SoundServer);
    // One that has just been asked has no answer yet.
    let asked = [run("s1", lost.sent_at, ended), run("s2", start + ms(2_950), None)];
    assert_eq!(losses.cause(&lost, &asked), Cause::LeftSoundServer);
    let resumed = [run("s2", lost.sent_at, ended), run("s1", start + ms(2_950), ended)];
    assert_eq!(losses.cause(&lost, &resumed), Cause::SoundServer, "the first server is at work");
    let left = [run("s2", lost.sent_at, Some(start + ms(2_000))), resumed[1].clone()];
    assert_eq!(losses.cause(&lost, &left), Cause::LeftSoundServer);
    // An attempt beside the first server that was given up is no reason to expect an answer of it.
    let given_up =
        [run("s1", lost.sent_at, ended), run("s2", start + ms(1_000), Some(start + ms(2_000)))];
    assert_eq!(losses.cause(&lost, &given_up), Cause::LeftSoundServer);
    // A server that loses answers finishes those that it began before.
    assert_eq!(losses.cause(&lost, &[run("s3", lost.sent_at, ended)]), Cause::SoundServer);
    assert_eq!(losses.cause(&lost, &[run("s3", start + ms(2_900), ended)]), Cause::BrokenOff);
}

#[tokio::test(start_paused = true)]
async fn an_answer_beyond_its_limit_or_the_stop_is_excused() {
    let (losses, start) = (Losses::default(), Instant::now());
    losses.record_stop(2);
    let cut_off = outcome(start, ms(2_900), ms(7_500));
    let at_work = [run("s1", cut_off.sent_at, None)];
    assert_eq!(losses.cause(&cut_off, &at_work), Cause::AtWorkAtEnd);
    let late = outcome(start, ms(3_100), ms(7_500));
    assert_eq!(losses.cause(&late, &at_work), Cause::SoundServer);
    let ended = [run("s1", cut_off.sent_at, Some(start + ms(6_000)))];
    assert_eq!(losses.cause(&cut_off, &ended), Cause::SoundServer);
    let earlier = outcome(start, ms(2_900), ms(6_000));
    assert_eq!(losses.cause(&earlier, &at_work), Cause::SoundServer);
    let limited = Outcome { time_limit: ms(4_700), ..cut_off };
    assert_eq!(losses.cause(&limited, &at_work), Cause::TimeLimit);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_no_server_ran_is_lost_once_it_was_read() {
    let (losses, start) = (Losses::default(), Instant::now());
    losses.record_stop(2);
    assert_eq!(losses.cause(&outcome(start, ms(500), ms(600)), &[]), Cause::Unread);
    assert_eq!(losses.cause(&outcome(start, ms(500), ms(800)), &[]), Cause::Unanswered);
    let refused = ServerRun { ran: false, ..run("s1", start, Some(start + ms(510))) };
    assert_eq!(losses.cause(&outcome(start, ms(500), ms(600)), &[refused]), Cause::Unanswered);
}
