//! Answers that callers lost around planned stops, and whether a server broke them off.
//! Input: outcomes of requests, their attempts, stops, and times in which servers cut off answers.
//! State: all of them. Decides which losses the service has to answer for.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::LAST_SIXTH_OF_STOP;
use crate::ledger::Verdict;

/// Time after `SIGTERM` in which a lost answer belongs to the stop.
const STOP_EFFECT: Duration = Duration::from_secs(9);

/// Time after `SIGTERM` until which requests may be sent that the end of the stop cuts off.
const LONG_REQUESTS_EXCUSED: Duration = Duration::from_secs(3);

/// How much earlier than its time limit a request ends that ends by it, and how much earlier than the
/// server finds that a server cuts it off.
const TIMER_SLACK: Duration = Duration::from_millis(200);

/// How much earlier than the answer to its caller an attempt ends that ends with it.
const CLOSE_SLACK: Duration = Duration::from_millis(20);

/// Time from the arrival of a request until its server has begun an answer.
const BEGIN_TIME: Duration = Duration::from_millis(100);

/// Time within which a request that was passed on to no server may lose its connection.
const UNREAD: Duration = Duration::from_millis(200);

/// A request that has ended for its caller.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its id.
    pub id: String,
    /// Index of its gateway.
    pub gateway: usize,
    /// When it was sent, and when it ended.
    pub sent_at: Instant,
    /// When its answer or its connection ended.
    pub ended_at: Instant,
    /// The smaller one of its deadline and the time-out of its route.
    pub time_limit: Duration,
    /// Whether its answer is a stream.
    pub is_stream: bool,
    /// What its caller got.
    pub verdict: Verdict,
}

/// What one server received of a request.
#[derive(Clone, Debug)]
pub struct ServerRun {
    /// The server.
    pub server: String,
    /// When it received the request, and when it ended it, if it did not crash before.
    pub at: Instant,
    /// When it had finished it, or found its connection closed.
    pub ended_at: Option<Instant>,
    /// Whether it ran the request.
    pub ran: bool,
}

/// Why a caller got no complete answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// Its time limit has passed.
    TimeLimit,
    /// It was sent early in the stop, and its server was at work on it in the last sixth of that.
    AtWorkAtEnd,
    /// The servers that ran it broke off.
    BrokenOff,
    /// The server that ran it last broke off; a sound one had run it before.
    LeftSoundServer,
    /// It was passed on to no server, and its connection ended at once.
    Unread,
    /// It was passed on to no server, or to ones that refused it, and its connection ended later.
    Unanswered,
    /// Its server is sound.
    SoundServer,
}

impl Cause {
    /// Whether the service has to answer for it.
    pub fn is_violation(self) -> bool {
        matches!(self, Cause::SoundServer | Cause::Unanswered)
    }
}

/// A time of a server in which it cuts off answers: those of requests that it runs, or of those that
/// it receives.
#[derive(Clone, Debug)]
struct Break {
    server: String,
    from: Instant,
    until: Instant,
    of_arrivals: bool,
}

/// Outcomes, stops and what servers broke off.
#[derive(Debug, Default)]
pub struct Losses {
    outcomes: RefCell<Vec<Outcome>>,
    stops: RefCell<Vec<(usize, Instant)>>,
    breaks: RefCell<Vec<Break>>,
    halts: RefCell<Vec<(String, Instant, Instant)>>,
    crashes: RefCell<Vec<(String, Instant)>>,
    leaving: RefCell<Vec<(String, Instant)>>,
}

impl Losses {
    /// Records a request that has ended for its caller.
    pub fn record_outcome(&self, outcome: Outcome) {
        self.outcomes.borrow_mut().push(outcome);
    }

    /// Records that a gateway is told to stop.
    pub fn record_stop(&self, gateway: usize) {
        self.stops.borrow_mut().push((gateway, Instant::now()));
    }

    /// Records that a server halts from now on.
    pub fn record_halt(&self, server: &str, duration: Duration) {
        let now = Instant::now();
        self.halts.borrow_mut().push((server.to_owned(), now, now + duration));
    }

    /// Records that a server cuts off what it runs from now on.
    pub fn record_cut(&self, server: &str, duration: Duration) {
        self.record_break(server, duration, false);
    }

    /// Records that a server loses the answers of what it receives from now on.
    pub fn record_lost(&self, server: &str, duration: Duration) {
        self.record_break(server, duration, true);
    }

    /// Records that a server leaves from now on.
    pub fn record_leaving(&self, server: &str) {
        self.leaving.borrow_mut().push((server.to_owned(), Instant::now()));
    }

    /// Records that a server has crashed.
    pub fn record_crash(&self, server: &str) {
        self.crashes.borrow_mut().push((server.to_owned(), Instant::now()));
    }

    fn record_break(&self, server: &str, duration: Duration, of_arrivals: bool) {
        let (server, from) = (server.to_owned(), Instant::now());
        let until = from + duration;
        self.breaks.borrow_mut().push(Break { server, from, until, of_arrivals });
    }

    /// When the gateway of a request was told to stop, if the request ended in that stop.
    pub fn stop_of(&self, outcome: &Outcome) -> Option<Instant> {
        let is_around =
            |at: Instant| outcome.ended_at >= at && outcome.ended_at <= at + STOP_EFFECT;
        let stops = self.stops.borrow();
        let mut of_gateway = stops.iter().rev().filter(|(gateway, _)| *gateway == outcome.gateway);
        of_gateway.find(|(_, at)| is_around(*at)).map(|(_, at)| *at)
    }

    fn broke_off(&self, run: &ServerRun, closed_at: Instant) -> bool {
        let ended_at = run.ended_at.unwrap_or(closed_at);
        let breaks = self.breaks.borrow();
        let mut of_server = breaks.iter().filter(|one| one.server == run.server);
        let is_cut = of_server.any(|one| {
            let begins = run.at <= one.until && one.from <= closed_at;
            begins && one.from <= if one.of_arrivals { run.at } else { ended_at + TIMER_SLACK }
        });
        is_cut || run.ended_at.is_none() && self.crashed_at(&run.server).is_some()
    }

    /// Why a request got no complete answer.
    pub fn cause(&self, outcome: &Outcome, runs: &[ServerRun]) -> Cause {
        let Outcome { sent_at, ended_at, time_limit, .. } = *outcome;
        if ended_at + TIMER_SLACK >= sent_at + time_limit {
            return Cause::TimeLimit;
        }
        let ran: Vec<&ServerRun> = runs.iter().filter(|run| run.ran).collect();
        let end = |run: &ServerRun| run.ended_at.or_else(|| self.crashed_at(&run.server));
        let Some(last) = ran.iter().max_by_key(|run| end(run).unwrap_or(ended_at)) else {
            let is_late = !runs.is_empty() || ended_at > sent_at + UNREAD;
            return if is_late { Cause::Unanswered } else { Cause::Unread };
        };
        let is_sound = |run: &ServerRun| !self.broke_off(run, ended_at);
        let runs_on = |run: &ServerRun| end(run).is_none_or(|at| at + CLOSE_SLACK >= ended_at);
        if let Some(stop) = self.stop_of(outcome) {
            let last_sixth = stop + LAST_SIXTH_OF_STOP;
            if sent_at <= stop + LONG_REQUESTS_EXCUSED
                && ended_at >= last_sixth
                && ran.iter().any(|run| runs_on(run))
            {
                return Cause::AtWorkAtEnd;
            }
        }
        // An attempt beside the server of a stream that began just before has no answer yet.
        let is_begun = |run: &ServerRun| ran.len() == 1 || run.at + BEGIN_TIME <= ended_at;
        // Attempts beside the server of a stream end earlier, without that server.
        let is_last_sound = is_sound(last) && !ran.iter().any(|run| runs_on(run));
        if is_last_sound || ran.iter().any(|run| runs_on(run) && is_sound(run) && is_begun(run)) {
            return Cause::SoundServer;
        }
        let ran_at_sound = ran.iter().any(|run| is_sound(run));
        if ran_at_sound { Cause::LeftSoundServer } else { Cause::BrokenOff }
    }

    fn crashed_at(&self, server: &str) -> Option<Instant> {
        let crashes = self.crashes.borrow();
        crashes.iter().find(|(crashed, _)| crashed == server).map(|(_, at)| *at)
    }

    /// All requests that got no complete answer around a stop of their gateway, and why.
    pub fn lost(&self, runs: &HashMap<String, Vec<ServerRun>>) -> Vec<(Outcome, Instant, Cause)> {
        let outcomes = self.outcomes.borrow();
        let closed = outcomes.iter().filter(|outcome| outcome.verdict == Verdict::Closed);
        let in_stops = closed.filter_map(|outcome| {
            let runs = runs.get(&outcome.id).map_or(&[][..], Vec::as_slice);
            Some((outcome.clone(), self.stop_of(outcome)?, self.cause(outcome, runs)))
        });
        in_stops.collect()
    }

    /// How many streams met what in a stop of their gateway, and how many of these were answered.
    pub fn reached(&self, runs: &HashMap<String, Vec<ServerRun>>) -> String {
        let (halts, stops) = (self.halts.borrow(), self.stops.borrow());
        let leaving = self.leaving.borrow();
        let names = ["in a stop", "halted", "resumed", "cut", "at a leaving server"];
        let mut counts = names.map(|name| (name, 0, 0));
        let outcomes = self.outcomes.borrow();
        for outcome in outcomes.iter().filter(|outcome| outcome.is_stream) {
            let Some(runs) = runs.get(&outcome.id) else { continue };
            let Some(stop) = self.stop_of(outcome) else { continue };
            let ran: Vec<&ServerRun> = runs.iter().filter(|run| run.ran).collect();
            let is_halted = ran.iter().any(|run| {
                let mut halts = halts.iter().filter(|(server, ..)| *server == run.server);
                halts.any(|(_, from, until)| {
                    *until > run.at.max(stop) && *from < run.ended_at.unwrap_or(outcome.ended_at)
                })
            });
            let is_resumed = ran.len() > 1
                && ran.iter().all(|run| run.at <= outcome.ended_at)
                && ran.iter().any(|run| run.at >= stop);
            let is_cut = ran.iter().any(|run| self.broke_off(run, outcome.ended_at));
            let is_leaving = ran.iter().any(|run| {
                let ended_at = run.ended_at.unwrap_or(outcome.ended_at);
                leaving.iter().any(|(server, from)| *server == run.server && *from < ended_at)
            });
            let is_met = [!ran.is_empty(), is_halted, is_resumed, is_cut, is_leaving];
            for ((_, met, answered), is_met) in counts.iter_mut().zip(is_met) {
                *met += u32::from(is_met);
                *answered += u32::from(is_met && outcome.verdict == Verdict::Answered);
            }
        }
        let mut text = format!(", {} stops, streams answered", stops.len());
        for (name, met, answered) in counts {
            let _ = write!(text, ", {answered} of {met} {name}");
        }
        text
    }
}

/// A line on a lost request, with times from the `SIGTERM` of its gateway.
pub fn line(outcome: &Outcome, stop: Instant, cause: Cause, runs: &[ServerRun]) -> String {
    let since = |at: Instant| {
        at.saturating_duration_since(stop).as_secs_f64()
            - stop.saturating_duration_since(at).as_secs_f64()
    };
    let Outcome { id, gateway, is_stream, sent_at, ended_at, time_limit, .. } = outcome;
    let kind = if *is_stream { "stream" } else { "request" };
    let (sent, ended) = (since(*sent_at), since(*ended_at));
    let mut text = format!(
        "{kind} {id} at g{gateway}, sent {sent:+.2} s, limit {time_limit:?}, ended {ended:+.2} s from \
         SIGTERM: {cause:?}"
    );
    for ServerRun { server, at, ended_at, ran } in runs {
        let until = ended_at.map_or("open".to_owned(), |at| format!("{:+.2}", since(at)));
        let begun = since(*at);
        let _ = write!(text, "; {server} {begun:+.2} to {until}, ran {ran}");
    }
    text
}
