//! What servers name as their limits, and what reaches them meanwhile from gateways that were told.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hooktrestle_users_standin::server::ReceivedRequest;
use tokio::time::Instant;

use crate::ledger::Through;

/// The users' rule: in some window so many times what the limit allows, and some more.
const WINDOW: Duration = Duration::from_secs(4);
const TIMES: f64 = 1.5;
const MORE: f64 = 5.0;

/// A limit that a server names, from when it first did.
#[derive(Clone, Debug)]
struct Naming {
    text: String,
    since: Instant,
    /// When each life of a gateway was first told.
    told: HashMap<Through, Instant>,
    /// What came from those that had been told, in the last window.
    counted: VecDeque<Instant>,
}

/// The limits that servers name.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    named: HashMap<String, Naming>,
}

/// What a request is, where a limit was named.
#[derive(Clone, Debug, PartialEq)]
pub enum Count {
    /// Not counted: nothing was named, or not for long, or its gateway had not been told.
    Not,
    /// Within the limit.
    Within,
    /// One too many, in a window that began then.
    TooMany(Instant, String),
}

impl Limits {
    /// A request came to a server through a gateway. It counts once the limit has been named for `holds_after`, and its
    /// gateway was told `told_for` before.
    pub fn count(
        &mut self,
        server: &str,
        received: &ReceivedRequest,
        through: Through,
        holds_after: Duration,
        told_for: Duration,
    ) -> Count {
        // Read apart from the product; what is no number is no limit.
        let Some((text, limit)) = named(received) else {
            self.named.remove(server);
            return Count::Not;
        };
        let at = received.at;
        let fresh = || Naming {
            text: text.clone(),
            since: at,
            told: HashMap::new(),
            counted: VecDeque::new(),
        };
        let naming = self.named.entry(server.to_owned()).or_insert_with(fresh);
        if naming.text != text {
            *naming = fresh();
        }
        let told_at = *naming.told.entry(through).or_insert(at);
        if at < naming.since + holds_after || at < told_at + told_for {
            return Count::Not;
        }
        naming.counted.push_back(at);
        while naming.counted.front().is_some_and(|first| *first + WINDOW <= at) {
            naming.counted.pop_front();
        }
        let most = TIMES * limit * WINDOW.as_secs_f64() + MORE;
        let count = naming.counted.len();
        if count as f64 <= most {
            return Count::Within;
        }
        let began = naming.counted.front().copied().unwrap_or(at);
        Count::TooMany(began, format!("{server} named {text} a second and got {count} in 4 s"))
    }
}

fn named(received: &ReceivedRequest) -> Option<(String, f64)> {
    let text = received.advertised_limit.clone()?;
    let limit = text.parse::<f64>().ok().filter(|limit| *limit >= 0.0 && limit.is_finite())?;
    Some((text, limit))
}
