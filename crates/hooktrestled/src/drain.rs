//! The wait for requests in flight to end. The input is their number and a time limit; there is no
//! state.

use std::time::Duration;

use tokio::sync::watch;

/// Waits until the count is zero, for at most `within`. Returns the count at the end.
pub(crate) async fn until_idle(mut count: watch::Receiver<usize>, within: Duration) -> usize {
    let waiting = async {
        // An error means that the sender of the count has ended: no request is in flight.
        let _ = count.wait_for(|count| *count == 0).await;
    };
    match tokio::time::timeout(within, waiting).await {
        Ok(()) => 0,
        Err(_) => *count.borrow(),
    }
}
