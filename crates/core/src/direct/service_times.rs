//! How long the requests of each route take until their callers have the answers.
//! Input: the duration of each request that has ended, and the size of its answer. State: the
//! longest of each route in the last one to two periods.
//! Tells what the next request of a route may take, for a promise that has to be kept in time.

use std::collections::HashMap;

use crate::clock::Millis;

/// Length of a period: recent enough for the load of the moment, and long enough for the requests of
/// a route that is seldom used.
const PERIOD: Millis = Millis(30_000);

/// What requests took.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Served {
    /// Time from the request until its caller had the answer.
    pub took: Millis,
    /// Size of the answer's body.
    pub answer_bytes: usize,
}

impl Served {
    /// The maximum of both.
    fn max(self, other: Served) -> Served {
        Served {
            took: self.took.max(other.took),
            answer_bytes: self.answer_bytes.max(other.answer_bytes),
        }
    }
}

/// The maxima of one route.
#[derive(Clone, Copy, Debug)]
struct Maxima {
    period: u64,
    in_period: Served,
    /// Those of the period before, if a request ended in it.
    before: Option<Served>,
}

impl Maxima {
    fn record(&mut self, served: Served, period: u64) {
        if period == self.period {
            self.in_period = self.in_period.max(served);
            return;
        }
        let before = (self.period + 1 == period).then_some(self.in_period);
        *self = Maxima { period, in_period: served, before };
    }

    fn longest(&self, period: u64) -> Option<Served> {
        match period - self.period {
            0 => Some(self.before.map_or(self.in_period, |before| before.max(self.in_period))),
            1 => Some(self.in_period),
            _ => None,
        }
    }
}

/// What the requests of all routes took.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    routes: HashMap<String, Maxima>,
}

impl ServiceTimes {
    /// Records a request of a route that has ended at `now`.
    pub fn record(&mut self, route: &str, served: Served, now: Millis) {
        let period = period_of(now);
        match self.routes.get_mut(route) {
            Some(maxima) => maxima.record(served, period),
            None => {
                self.routes.retain(|_, maxima| maxima.longest(period).is_some());
                let maxima = Maxima { period, in_period: served, before: None };
                self.routes.insert(route.to_owned(), maxima);
            }
        }
    }

    /// The longest duration and the largest answer of a route's recent requests; `None` if there were
    /// none.
    pub fn longest(&self, route: &str, now: Millis) -> Option<Served> {
        self.routes.get(route)?.longest(period_of(now))
    }
}

fn period_of(now: Millis) -> u64 {
    now.0 / PERIOD.0
}
