//! What has arrived at the sockets of this process and is not handled yet.
//! Input: the poll of all sockets by the runtime. State: none.
//! Decides when the tasks that it wakes have run.
//!
//! A process that got no processor time finds timers that have passed and bytes that have arrived at
//! once. What arrives passes a few tasks until it is forwarded, so a timer may come first.

use tokio::task;

/// Number of polls: not all tasks run after each of them.
const POLLS: usize = 32;

/// Polls all sockets, and lets the tasks run that this wakes.
pub(crate) async fn handle() {
    for _ in 0..POLLS {
        task::yield_now().await;
    }
}
