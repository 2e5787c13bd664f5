//! Limiter of client accounts at one gateway: decides whether a request is admitted.
//! Input: requests with their account's row, the number of gateways, and the ends of requests.
//! State: token buckets and the number of requests in flight of each account.
//!
//! Each gateway enforces its share of an account's limits: the limit divided by the number of
//! gateways that callers are given. So the sum over all gateways never exceeds the limit, without
//! a dedicated counting process and without coordination. The drawback: an account whose callers
//! use fewer gateways than they are given gets less than its limit. The alternative is a home
//! gateway for each account that lends out shares: it is exact in steady state, but needs links
//! between gateways.
//!
//! A bucket holds the limit of one second, so that callers may send bursts.

use std::collections::HashMap;

use hooktrestle_schema::AccountRow;
use hooktrestle_schema::Cause;

use crate::clock::Millis;
use crate::verdict::Refusal;

/// Size of a bucket, as the time in which it fills.
const BURST_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    /// Refill per millisecond.
    rate: f64,
}

impl Bucket {
    fn full(rate: f64) -> Bucket {
        Bucket { level: (rate * BURST_MS).max(1.0), rate }
    }

    fn refill(&mut self, span: Millis) {
        let capacity = (self.rate * BURST_MS).max(1.0);
        self.level = (self.level + self.rate * span.0 as f64).min(capacity);
    }

    /// Time until `cost` is available. A cost above the capacity is admitted by a full bucket.
    fn wait_ms(&self, cost: f64) -> f64 {
        let capacity = (self.rate * BURST_MS).max(1.0);
        let missing = cost.min(capacity) - self.level;
        if missing <= 1e-9 { 0.0 } else { missing / self.rate }
    }
}

#[derive(Clone, Copy, Debug)]
struct Account {
    at: Millis,
    requests: Bucket,
    tokens: Bucket,
    in_flight: u32,
}

/// Limits of the accounts in use at one gateway, by the hash of the account's name.
#[derive(Debug, Default)]
pub struct Limiter {
    accounts: HashMap<u64, Account>,
}

impl Limiter {
    /// Admits a request, or refuses it. `gateways` is the number of gateways that share the limits.
    ///
    /// # Errors
    ///
    /// The account has reached a limit; the request did not run. For rate limits, the refusal has
    /// the time to retry after.
    pub fn admit(
        &mut self,
        now: Millis,
        account: u64,
        row: &AccountRow,
        gateways: usize,
        cost_tokens: u32,
    ) -> Result<(), Refusal> {
        let share = 1.0 / gateways.max(1) as f64;
        let request_rate = f64::from(row.limit_requests_per_s) * share / 1_000.0;
        let token_rate = f64::from(row.limit_tokens_per_s) * share / 1_000.0;
        let state = self.accounts.entry(account).or_insert_with(|| Account {
            at: now,
            requests: Bucket::full(request_rate),
            tokens: Bucket::full(token_rate),
            in_flight: 0,
        });
        state.requests.rate = request_rate;
        state.tokens.rate = token_rate;
        let span = now.since(state.at);
        state.at = now;
        state.requests.refill(span);
        state.tokens.refill(span);
        let over = Refusal::not_run(Cause::LimitReached);
        if state.in_flight >= row.limit_in_flight_requests {
            return Err(over);
        }
        let cost = f64::from(cost_tokens);
        let wait = state.requests.wait_ms(1.0).max(state.tokens.wait_ms(cost));
        if wait > 0.0 {
            return Err(over.retry_after(bounded_wait(wait)));
        }
        state.requests.level -= 1.0;
        state.tokens.level -= cost;
        state.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, now: Millis, account: u64) {
        let Some(state) = self.accounts.get_mut(&account) else {
            debug_assert!(false, "only an admitted request ends");
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        let idle = |state: &Account| {
            state.in_flight == 0 && now.since(state.at) > Millis(10 * BURST_MS as u64)
        };
        // The buckets of an account that was idle for ten burst times are full, so eviction loses
        // nothing.
        if self.accounts.len() > 64 && self.accounts.len().is_power_of_two() {
            self.accounts.retain(|_, state| !idle(state));
        }
    }
}

/// Time to retry after for a wait. The wait is infinite if the account's rate is zero; the result
/// is at most an hour.
fn bounded_wait(wait_ms: f64) -> Millis {
    Millis(if wait_ms.is_finite() { wait_ms.ceil().min(3.6e6) as u64 } else { 3_600_000 })
}
