//! Bounds on the attempts of requests, over a whole run.
//! Input: requests as their callers sent them, and attempts as servers received them. State: none.
//! Decides how many requests ran at too many servers, and how many attempts got too much time.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use tokio::time::Instant;

/// Number of requests that may run at more servers than their route allows.
const MAX_OVER_ATTEMPTS: usize = 3;

/// Number of attempts that may get too much time, and the fraction of all that count for this.
const MAX_OVER_TIME: usize = 20;
const MAX_OVER_TIME_FRACTION: f64 = 0.2;

/// Time by which an attempt may end later than its caller waits, and after which an attempt is a
/// late one.
const TOLERANCE: Duration = Duration::from_millis(500);

/// A request as its caller sent it.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// When it was sent.
    pub at: Instant,
    /// How long its caller waits.
    pub deadline: Duration,
}

/// An attempt as its server received it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the request.
    pub id: String,
    /// Id of the server.
    pub server: String,
    /// When it was received.
    pub at: Instant,
    /// Time that the server was given; `None` if it was given none.
    pub deadline: Option<Duration>,
    /// Whether the server ran the request and has not crashed.
    pub ran: bool,
}

/// Requests and attempts beyond what is allowed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Excess {
    /// Requests that ran at more servers than their route allows.
    pub over_attempts: usize,
    /// Attempts that got more time than was left.
    pub over_time: usize,
    /// Late attempts, and those that got too much time.
    pub timed: usize,
}

impl Excess {
    /// Whether too many requests ran at too many servers.
    pub fn exceeds_attempts(&self) -> bool {
        self.over_attempts > MAX_OVER_ATTEMPTS
    }

    /// Whether too many attempts got too much time.
    pub fn exceeds_time(&self) -> bool {
        let allowed = MAX_OVER_TIME_FRACTION * self.timed as f64;
        self.over_time > MAX_OVER_TIME && self.over_time as f64 > allowed
    }
}

impl Display for Excess {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Excess { over_attempts, over_time, timed } = self;
        write!(
            formatter,
            "{over_attempts} requests at too many servers ({MAX_OVER_ATTEMPTS} allowed), \
             {over_time} attempts with too much time of {timed} ({MAX_OVER_TIME} allowed)"
        )
    }
}

/// Counts what exceeds the attempts of the routes and the time that callers wait. Requests that are
/// not in `sent` do not count.
pub fn excess(
    sent: &HashMap<String, SentRequest>,
    mut attempts: Vec<Attempt>,
    max_attempts: usize,
) -> Excess {
    attempts.sort_by_key(|attempt| attempt.at);
    let mut by_request: HashMap<String, Vec<Attempt>> = HashMap::new();
    for attempt in attempts.into_iter().filter(|attempt| sent.contains_key(&attempt.id)) {
        by_request.entry(attempt.id.clone()).or_default().push(attempt);
    }
    let mut found = Excess::default();
    for (id, attempts) in &by_request {
        let ran = attempts.iter().filter(|attempt| attempt.ran);
        let servers: HashSet<&str> = ran.map(|attempt| attempt.server.as_str()).collect();
        found.over_attempts += usize::from(servers.len() > max_attempts);
        for attempt in attempts {
            match time_of(attempt, &attempts[0], sent[id]) {
                TimeCheck::NotCounted => {}
                TimeCheck::Within => found.timed += 1,
                TimeCheck::Exceeded => {
                    found.timed += 1;
                    found.over_time += 1;
                }
            }
        }
    }
    found
}

/// What the time of one attempt counts as.
enum TimeCheck {
    NotCounted,
    Within,
    Exceeded,
}

fn time_of(attempt: &Attempt, first: &Attempt, sent: SentRequest) -> TimeCheck {
    let Some(deadline) = attempt.deadline else { return TimeCheck::Exceeded };
    if deadline > sent.deadline + TOLERANCE {
        return TimeCheck::Exceeded;
    }
    if attempt.at <= first.at + TOLERANCE {
        return TimeCheck::NotCounted;
    }
    let first_ends_at = first.at + first.deadline.unwrap_or_default();
    let ends_by = first_ends_at.max(sent.at + sent.deadline) + TOLERANCE;
    if attempt.at + deadline > ends_by { TimeCheck::Exceeded } else { TimeCheck::Within }
}
