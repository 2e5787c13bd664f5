//! The `explain` command: the steps of one request, from the log lines of gateways.
//!
//! Its input is log lines; it holds the steps found so far. A gateway logs a line for each decision
//! on a request, except for the answer of its first server: `request=ID` and the step as JSON
//! ([`RequestStep`]). The last step decides which advice is printed.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;

use eyre::Result;
use eyre::WrapErr;
use hooktrestle_schema::AnswerStage;
use hooktrestle_schema::AttemptFate;
use hooktrestle_schema::BesideNext;
use hooktrestle_schema::Cause;
use hooktrestle_schema::Framing;
use hooktrestle_schema::IncompleteReason;
use hooktrestle_schema::IncompleteStep;
use hooktrestle_schema::LeaveReason;
use hooktrestle_schema::NextStep;
use hooktrestle_schema::NotResumed;
use hooktrestle_schema::RequestStep;
use hooktrestle_schema::ServerListing;
use hooktrestle_schema::Verdict;
use serde::Serialize;

/// Ends the prefix of a log line: the time, and any text that a log collector adds before it.
const LEVEL_MARKER: &str = "[info]";

/// A step, and the prefix of its log line: time and gateway.
#[derive(Debug, PartialEq, Serialize)]
struct LoggedStep {
    origin: String,
    step: RequestStep,
}

/// Prints the steps of request `id` from the files, or from standard input if there are none.
pub fn print(id: &str, files: &[PathBuf], json: bool) -> Result<ExitCode> {
    let mut steps = Vec::new();
    let mut unparsed = 0;
    if files.is_empty() {
        unparsed += collect(io::stdin().lock(), id, &mut steps)?;
    }
    for path in files {
        let file = File::open(path).wrap_err_with(|| format!("{}", path.display()))?;
        unparsed += collect(BufReader::new(file), id, &mut steps)
            .wrap_err_with(|| format!("{}", path.display()))?;
    }
    if unparsed > 0 {
        eprintln!("hooktrestle: {unparsed} lines of request {id} could not be parsed: skipped");
    }
    if steps.is_empty() {
        eprintln!(
            "hooktrestle: no log line about request {id}: its first server answered it, its lines were \
             dropped (look for `lines about requests were dropped`), or another gateway served it"
        );
        return Ok(ExitCode::FAILURE);
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&steps)?);
        return Ok(ExitCode::SUCCESS);
    }
    for LoggedStep { origin, step } in &steps {
        println!("{origin}  {}", describe(step));
    }
    if let Some(last) = steps.last() {
        println!("{}", conclusion(&last.step));
    }
    Ok(ExitCode::SUCCESS)
}

/// Collects the steps of a request; returns the number of its lines that could not be parsed.
fn collect(lines: impl BufRead, id: &str, steps: &mut Vec<LoggedStep>) -> io::Result<usize> {
    let mut unparsed = 0;
    let marker = format!("request={id} ");
    for line in lines.lines() {
        let line = line?;
        let Some((before, step)) = line.split_once(&marker) else { continue };
        match serde_json::from_str(step.trim_end()) {
            Ok(step) => {
                let origin = before.split(LEVEL_MARKER).next().unwrap_or(before).trim().to_owned();
                steps.push(LoggedStep { origin, step });
            }
            Err(_) => unparsed += 1,
        }
    }
    Ok(unparsed)
}

/// Describes a step in words.
fn describe(step: &RequestStep) -> String {
    match step {
        RequestStep::Attempt(step) => {
            format!("server {}: {}; {}", step.server_number, fate(step.fate), next(step.next))
        }
        RequestStep::Connection(step) => {
            let kind = if step.fresh { "new" } else { "kept" };
            let sent = if step.unsent { "nothing was sent" } else { "the request was sent" };
            format!(
                "server {}: its {kind} connection failed, {sent}: {}",
                step.server_number, step.error
            )
        }
        RequestStep::OtherAnswer(step) => {
            format!(
                "server {} answered another request: its connection is closed",
                step.server_number
            )
        }
        RequestStep::Rest(step) => {
            format!("server {} asked to back off for `{}` s", step.server_number, step.asked)
        }
        RequestStep::Limit(step) => {
            format!(
                "server {} advertised a limit of `{}` requests a second for all gateways",
                step.server_number, step.named
            )
        }
        RequestStep::End(step) => {
            let framing = match step.framing {
                Framing::Length => "its length",
                Framing::Chunks => "its last chunk",
                Framing::Connection => "the end of its connection alone",
            };
            format!(
                "the answer of server {} ended by {framing}, inside an event by {} bytes",
                step.server_number, step.incomplete_bytes
            )
        }
        RequestStep::Leave(step) => {
            let why = match step.reason {
                LeaveReason::BrokenOff => "truncated the stream",
                LeaveReason::Silent => "stopped sending",
                LeaveReason::Slow => "was detected as slow",
            };
            let after = after(step.after_event_number);
            format!("server {} {why}{after}; {}", step.server_number, next(step.next))
        }
        RequestStep::Beside(step) => {
            let ended = step.fate.map_or("it answered", fate);
            let other = match step.next {
                BesideNext::GoesOn => "goes on",
                BesideNext::GivenUp => "is given up",
            };
            format!(
                "server {}: {ended}; the attempt at server {} {other}",
                step.server_number, step.other_server_number
            )
        }
        RequestStep::Resumed(step) => {
            format!(
                "server {} resumed the stream{}",
                step.server_number,
                after(step.after_event_number)
            )
        }
        RequestStep::Incomplete(step) => incomplete(step),
        RequestStep::Refused(step) => {
            format!("refused after {} ms: {} ({})", step.held_ms, step.cause, step.verdict)
        }
    }
}

/// Where in a stream something happened.
fn after(event: Option<u64>) -> String {
    event.map_or(", before its first event".to_owned(), |event| format!(", after event {event}"))
}

/// Describes an answer that ended incomplete.
fn incomplete(step: &IncompleteStep) -> String {
    let why = match step.reason {
        IncompleteReason::ProcessEnded => "the process ended",
        IncompleteReason::BrokenOff => "the server truncated it, and no other one resumed it",
        IncompleteReason::Refused => "the server truncated it, and the request crashes servers",
        IncompleteReason::DeadlinePassed => "its deadline passed",
        IncompleteReason::OverBudget => "unread answers exceeded their budget",
        IncompleteReason::Stalled => "its caller read nothing",
        IncompleteReason::Idle => "its connection was idle",
    };
    let stage = match step.stage {
        AnswerStage::Unanswered => "not begun",
        AnswerStage::Forwarding => "forwarded",
        AnswerStage::Complete => "complete at the gateway",
    };
    let event = step.after_event_number.map_or_else(String::new, |event| after(Some(event)));
    let server = step.server.as_deref().unwrap_or("none");
    let deadline = match step.until_deadline_ms {
        None => String::new(),
        Some(passed @ ..0) => format!(", {} ms after its deadline", passed.unsigned_abs()),
        Some(left) => format!(", {left} ms before its deadline"),
    };
    let listing = match step.server_listing {
        None | Some(ServerListing::Open) => "",
        Some(ServerListing::Leaving) => ", which is leaving",
        Some(ServerListing::Unlisted) => ", which is not listed",
    };
    let stopping = step.stopping_ms.map_or_else(String::new, |for_ms| {
        format!("; the gateway had been stopping for {for_ms} ms")
    });
    format!(
        "the answer ended incomplete after {} ms{deadline}: {why}; it was {stage}, {} bytes{event}, from \
         server {server}{listing}{stopping}",
        step.age_ms, step.answer_bytes
    )
}

fn fate(fate: AttemptFate) -> &'static str {
    match fate {
        AttemptFate::NotSent => "it was not reached",
        AttemptFate::NotRun => "it reported that it did not run the request",
        AttemptFate::MayHaveRun => "no complete answer was received, so it may have run",
        AttemptFate::Failed => "it answered that it failed",
    }
}

fn next(next: NextStep) -> &'static str {
    match next {
        NextStep::Again => "another server is tried",
        NextStep::Stay => "the stream stays there",
        NextStep::PassOn => "that answer is passed on",
        NextStep::GiveUp => "the gateway gives up",
    }
}

/// How the request ended, and what to check next, from its last step.
fn conclusion(last: &RequestStep) -> String {
    match last {
        RequestStep::Refused(step) => {
            let ran = match step.verdict {
                Verdict::NotRun => "It did not run, and the caller got this guarantee.",
                Verdict::MayHaveRun | Verdict::Ran => {
                    "It may have run, so it was not retried and the caller got no guarantee."
                }
            };
            format!("{ran} {}", advice(step.cause))
        }
        RequestStep::Attempt(step) if step.next == NextStep::PassOn => {
            "The caller got the server's own failure.".to_owned()
        }
        RequestStep::Leave(step) if step.next == NextStep::GiveUp => {
            "The caller's connection was closed in the middle of the stream: no attempt or no retry \
             was left, or the route does not let streams be resumed."
                .to_owned()
        }
        RequestStep::Resumed(_) => {
            "No later line is about it: the server that resumed the stream sent the rest.".to_owned()
        }
        RequestStep::Incomplete(step) => incomplete_advice(step).to_owned(),
        _ => "No later line is about it: the next server answered.".to_owned(),
    }
}

fn incomplete_advice(step: &IncompleteStep) -> &'static str {
    match step.reason {
        IncompleteReason::ProcessEnded if step.attempt_open => {
            "Its server was at work as the process ended: look whether `server_quiet_ms` is near a pause \
             of its group, and whether `until_deadline_ms` is larger than a stop may take."
        }
        IncompleteReason::ProcessEnded => {
            "No server was at work on it: its caller reads slowly, or the request waited in the process."
        }
        IncompleteReason::BrokenOff => not_resumed_advice(step.not_resumed),
        IncompleteReason::Refused => "Look which servers crashed at that time.",
        IncompleteReason::DeadlinePassed => {
            "If `server_quiet_ms` is long, the server had stopped sending; else the answer takes longer \
             than its caller waits."
        }
        IncompleteReason::OverBudget | IncompleteReason::Stalled | IncompleteReason::Idle => {
            "The caller did not read: see `unread_bytes` and `readers_closed` among the metrics."
        }
    }
}

fn not_resumed_advice(reason: Option<NotResumed>) -> &'static str {
    match reason {
        None => "It is no stream: what its caller has of it cannot be continued elsewhere.",
        Some(NotResumed::NotResumable) => {
            "Its route or its framing does not let it be resumed, or its caller has a part of an event."
        }
        Some(NotResumed::AttemptsUsed) => {
            "It was sent to as many servers as its route allows: see the steps before for what came of \
             each."
        }
        Some(NotResumed::RetriesUsed) => {
            "No retry was left: see the lines `retry budget of ... is used up` of that time."
        }
        Some(NotResumed::NoServer) => "No other server of its service was free.",
        Some(NotResumed::NotAnswered) => "The last server that was asked did not answer in time.",
    }
}

fn advice(cause: Cause) -> &'static str {
    match cause {
        Cause::UnknownService | Cause::UnknownKey => {
            "Look at the last `configuration N in force` line of that gateway: is N the newest?"
        }
        Cause::NoBackendServer => {
            "Look for `servers are in groups that stand still`, `is gone`, `evacuated` and `servers are \
             cold` around that time, and whether the homes of its route and account leave a region."
        }
        Cause::BackendFailed | Cause::DeadlinePassed => {
            "Look whether other requests name the same servers at that time."
        }
        Cause::QueueFull => {
            "There was no room within the time that the caller had left. Compare `room_open_streams` \
             with `room_streams` at the gateway that logs `refuses a part of the requests`, and \
             `admitted_thousandths` between gateways. For a route without streams, the queues of all \
             servers lasted longer than its deadline."
        }
        Cause::BackendRefused => {
            "All servers that were tried were full: their other requests at that time show for how long."
        }
        Cause::Leaving => "The gateway was stopping; another one accepts the request at once.",
        Cause::NotReady => "The gateway had no configuration yet: look for `store lost`.",
        _ => "The cause gives the reason.",
    }
}
