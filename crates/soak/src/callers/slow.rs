//! Callers that read large answers slowly: across stops, new configurations and changed settings.
//! Input: a seed, and a gateway. State: the connection of the request before.
//! Decides how long an answer is read, and the verdict on it.

use std::net::SocketAddr;
use std::time::Duration;

use hooktrestle_users_standin::slow_caller::End;
use hooktrestle_users_standin::slow_caller::SlowConnection;
use hooktrestle_users_standin::slow_caller::SlowRequest;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::Caller;
use super::LONG_DEADLINE;
use super::RequestSpec;
use crate::ledger::Guarantee;
use crate::ledger::Verdict;

/// Size of the answers that callers read slowly, and how long these take.
const LARGE_ANSWER_BYTES: usize = 2_500_000;
const SLOW_READING_MS: std::ops::Range<u64> = 2_000..7_000;

/// A request with a large answer, and a caller that reads it until shortly before its deadline.
pub(super) fn request(rng: &mut ChaCha8Rng) -> RequestSpec {
    let (route, repeatable) = [("once", false), ("safe", true)][rng.random_range(0..2)];
    let reading = Duration::from_millis(rng.random_range(SLOW_READING_MS));
    RequestSpec {
        path: format!("/{route}/1"),
        repeatable,
        events: None,
        deadline: LONG_DEADLINE,
        disconnects_after: None,
        reading: Some(reading),
    }
}

impl Caller {
    /// Sends a request and reads its answer slowly, on the connection of the request before if that
    /// went to the same gateway.
    pub(super) async fn read_slowly(
        &mut self,
        gateway: SocketAddr,
        spec: &RequestSpec,
        id: &str,
        reading: Duration,
    ) -> Verdict {
        let kept = self.kept.take();
        let kept = kept.filter(|(address, kept)| *address == gateway && kept.is_open());
        let mut connection = match kept {
            Some((_, connection)) => connection,
            None => match SlowConnection::open(gateway).await {
                Ok(connection) => connection,
                Err(_) => return Verdict::Closed,
            },
        };
        let (path, deadline) = (spec.path.as_str(), spec.deadline);
        let request = SlowRequest { path, id, deadline, answer_bytes: LARGE_ANSWER_BYTES, reading };
        match connection.request(request).await {
            End::Whole(200, text) => {
                let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
                if body.len() != LARGE_ANSWER_BYTES || body.trim_end_matches('x') != id {
                    let detail = format!("{id} got {} bytes of another answer", body.len());
                    self.context.ledger.report(Guarantee::OwnAnswer, detail);
                }
                if !text.contains("connection: close") {
                    self.kept = Some((gateway, connection));
                }
                Verdict::Answered
            }
            End::Whole(503, _) => Verdict::NotRun,
            End::Whole(..) => Verdict::Open,
            End::Expired => Verdict::Left(Instant::now()),
            End::Closed(_) => Verdict::Closed,
        }
    }
}
