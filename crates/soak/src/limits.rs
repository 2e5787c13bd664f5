//! What servers name as their limits, and what reaches them meanwhile from gateways that were told.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hooktrestle_users_standin::server::Arrived;
use tokio::time::Instant;

use crate::ledger::GatewayIncarnation;

/// The users' rule: in some window so many times what the limit allows, and some more.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED_RATIO: f64 = 1.5;
const ALLOWED_EXCESS: f64 = 5.0;

/// A limit that a server names, from when it first did.
#[derive(Clone, Debug)]
struct AdvertisedLimit {
    text: String,
    since: Instant,
    /// When each life of a gateway was first told.
    first_received: HashMap<GatewayIncarnation, Instant>,
    /// What came from those that had been told, in the last window.
    arrivals: VecDeque<Instant>,
}

/// The limits that servers name.
#[derive(Clone, Debug, Default)]
pub struct AdvertisedLimits {
    by_server: HashMap<String, AdvertisedLimit>,
}

/// What a request is, where a limit was named.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitCheck {
    /// NotCounted counted: nothing was named, or not for long, or its gateway had not been told.
    NotCounted,
    /// Within the limit.
    Within,
    /// One too many, in a window that began then.
    Exceeded(Instant, String),
}

impl AdvertisedLimits {
    /// A request came to a server through a gateway. It counts once the limit has been named for `holds_after`, and its
    /// gateway was told `told_for` before.
    pub fn check(
        &mut self,
        server: &str,
        arrived: &Arrived,
        gateway: GatewayIncarnation,
        delay: Duration,
        propagation_time: Duration,
    ) -> LimitCheck {
        // Read apart from the product; what is no number is no limit.
        let Some((text, limit)) = parse_limit(arrived) else {
            self.by_server.remove(server);
            return LimitCheck::NotCounted;
        };
        let at = arrived.at;
        let fresh = || AdvertisedLimit {
            text: text.clone(),
            since: at,
            first_received: HashMap::new(),
            arrivals: VecDeque::new(),
        };
        let advertised = self.by_server.entry(server.to_owned()).or_insert_with(fresh);
        if advertised.text != text {
            *advertised = fresh();
        }
        let received_at = *advertised.first_received.entry(gateway).or_insert(at);
        if at < advertised.since + delay || at < received_at + propagation_time {
            return LimitCheck::NotCounted;
        }
        advertised.arrivals.push_back(at);
        while advertised.arrivals.front().is_some_and(|first| *first + WINDOW <= at) {
            advertised.arrivals.pop_front();
        }
        let max_count = ALLOWED_RATIO * limit * WINDOW.as_secs_f64() + ALLOWED_EXCESS;
        let count = advertised.arrivals.len();
        if count as f64 <= max_count {
            return LimitCheck::Within;
        }
        let window_start = advertised.arrivals.front().copied().unwrap_or(at);
        LimitCheck::Exceeded(
            window_start,
            format!("{server} named {text} a second and got {count} in 4 s"),
        )
    }
}

fn parse_limit(arrived: &Arrived) -> Option<(String, f64)> {
    let text = arrived.named_limit.clone()?;
    let limit = text.parse::<f64>().ok().filter(|limit| *limit >= 0.0 && limit.is_finite())?;
    Some((text, limit))
}
