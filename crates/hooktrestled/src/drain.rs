//! Waiting for requests in flight to end.

use std::time::Duration;

use tokio::sync::watch;

/// Waits until the count is zero; returns what it was if `within` passed first.
pub(crate) async fn until_idle(mut count: watch::Receiver<usize>, within: Duration) -> usize {
    let waiting = async {
        // An error means that whoever counted has ended: then nothing is in flight.
        let _ = count.wait_for(|count| *count == 0).await;
    };
    match tokio::time::timeout(within, waiting).await {
        Ok(()) => 0,
        Err(_) => *count.borrow(),
    }
}
