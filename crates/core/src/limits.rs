//! Limits of client accounts at one gateway.
//!
//! Each gateway holds an account to its part of the account's limits: the limit over the number of
//! gateways that callers are given. So the sum over all gateways never goes beyond the limit, with
//! nobody set aside to count and nothing to agree on. Price: an account whose callers use fewer
//! gateways than they are given gets less than its limit. Weighed against it: a home for each
//! account that lends slices, which is exact in steady state and needs links between gateways.
//!
//! A bucket holds one second's worth, so that a caller may come in bursts.

use std::collections::HashMap;

use hooktrestle_schema::AccountRow;
use hooktrestle_schema::Cause;

use crate::clock::Millis;
use crate::verdict::Refusal;

/// Milliseconds of an account's limit that its bucket holds.
const BURST_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    /// What comes in each millisecond.
    rate: f64,
}

impl Bucket {
    fn full(rate: f64) -> Bucket {
        Bucket { level: (rate * BURST_MS).max(1.0), rate }
    }

    fn pass(&mut self, span: Millis) {
        let most = (self.rate * BURST_MS).max(1.0);
        self.level = (self.level + self.rate * span.0 as f64).min(most);
    }

    /// How long until `cost` fits. A cost beyond the bucket's size fits once the bucket is full.
    fn wait_ms(&self, cost: f64) -> f64 {
        let most = (self.rate * BURST_MS).max(1.0);
        let lacks = cost.min(most) - self.level;
        if lacks <= 1e-9 { 0.0 } else { lacks / self.rate }
    }
}

#[derive(Clone, Copy, Debug)]
struct Account {
    at: Millis,
    requests: Bucket,
    tokens: Bucket,
    in_flight: u32,
}

/// The accounts in use at one gateway, by hash of their names.
#[derive(Debug, Default)]
pub struct Limiter {
    accounts: HashMap<u64, Account>,
}

impl Limiter {
    /// Admits a request, or says when to come back. `gateways` is the number that share the limits.
    ///
    /// # Errors
    ///
    /// The account is over a limit; the request did not run.
    pub fn admit(
        &mut self,
        now: Millis,
        account: u64,
        row: &AccountRow,
        gateways: usize,
        cost_tokens: u32,
    ) -> Result<(), Refusal> {
        let part = 1.0 / gateways.max(1) as f64;
        let request_rate = f64::from(row.limit_requests_per_s) * part / 1_000.0;
        let token_rate = f64::from(row.limit_tokens_per_s) * part / 1_000.0;
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
        state.requests.pass(span);
        state.tokens.pass(span);
        let over = Refusal::not_run(Cause::LimitReached);
        if state.in_flight >= row.limit_in_flight_requests {
            return Err(over);
        }
        let cost = f64::from(cost_tokens);
        let wait = state.requests.wait_ms(1.0).max(state.tokens.wait_ms(cost));
        if wait > 0.0 {
            return Err(over.retry_after(wait_span(wait)));
        }
        state.requests.level -= 1.0;
        state.tokens.level -= cost;
        state.in_flight += 1;
        Ok(())
    }

    /// An admitted request has ended.
    pub fn release(&mut self, now: Millis, account: u64) {
        let Some(state) = self.accounts.get_mut(&account) else {
            debug_assert!(false, "only an admitted request ends");
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        let idle = |state: &Account| {
            state.in_flight == 0 && now.since(state.at) > Millis(10 * BURST_MS as u64)
        };
        // Accounts that have been idle for long have full buckets: nothing is lost with them.
        if self.accounts.len() > 64 && self.accounts.len().is_power_of_two() {
            self.accounts.retain(|_, state| !idle(state));
        }
    }
}

/// An account without any limit left to earn never comes back by waiting: an hour stands for that.
fn wait_span(wait_ms: f64) -> Millis {
    Millis(if wait_ms.is_finite() { wait_ms.ceil().min(3.6e6) as u64 } else { 3_600_000 })
}
