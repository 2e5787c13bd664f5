//! Limits that servers advertise, and the requests that reach the servers despite them.
//! Input: arrivals at servers. State: the limit and the recent arrivals of each server.
//! Decides whether an arrival exceeds the advertised limit.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hooktrestle_users_standin::server::ReceivedRequest;
use tokio::time::Instant;

use crate::ledger::GatewayIncarnation;

/// Requirement of the service: within a window, at most the requests that the limit allows times a
/// ratio, plus a constant excess.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED_RATIO: f64 = 1.5;
const ALLOWED_EXCESS: f64 = 5.0;

/// A limit that a server advertises, since its first advertisement.
#[derive(Clone, Debug)]
struct AdvertisedLimit {
    text: String,
    since: Instant,
    /// When each gateway incarnation first received it.
    first_received: HashMap<GatewayIncarnation, Instant>,
    /// Arrivals in the last window through gateways that had received it.
    arrivals: VecDeque<Instant>,
}

/// The limits that servers advertise.
#[derive(Clone, Debug, Default)]
pub struct AdvertisedLimits {
    by_server: HashMap<String, AdvertisedLimit>,
}

/// Result of the check of an arrival against the limit of its server.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitCheck {
    /// Not counted: no limit is advertised, or it is too recent, or the gateway had not received
    /// it in time.
    NotCounted,
    /// Within the limit.
    Within,
    /// Above the limit, with the start of the window and a description.
    Exceeded(Instant, String),
}

impl AdvertisedLimits {
    /// Checks a request that reached a server through a gateway. It counts once the limit has been
    /// advertised for `delay`, and the gateway received it at least `propagation_time` before.
    pub fn check(
        &mut self,
        server: &str,
        received: &ReceivedRequest,
        gateway: GatewayIncarnation,
        delay: Duration,
        propagation_time: Duration,
    ) -> LimitCheck {
        // Parsed independently of the gateway code; a text that is not a number sets no limit.
        let Some((text, limit)) = parse_limit(received) else {
            self.by_server.remove(server);
            return LimitCheck::NotCounted;
        };
        let at = received.at;
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
            format!("{server} advertised {text}/s and got {count} in 4 s"),
        )
    }
}

fn parse_limit(received: &ReceivedRequest) -> Option<(String, f64)> {
    let text = received.advertised_limit.clone()?;
    let limit = text.parse::<f64>().ok().filter(|limit| *limit >= 0.0 && limit.is_finite())?;
    Some((text, limit))
}
