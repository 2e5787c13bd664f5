//! Copies of the platform's tables: tasks that read each table in full once and then follow it.
//! Input: responses of the platform's store. State: per task, whether a full read is due.
//! It decides when to call the store and how long to wait; the gateway applies the updates.

use std::rc::Rc;
use std::time::Duration;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::follow_calls::Connection;
use hooktrestle_core::direct::follow_calls::FollowCall;
use hooktrestle_core::direct::members::StoreFollowing;
use hooktrestle_core::direct::table_age;
use tokio::time;

use crate::gateway::Gateway;
use crate::platform::Failure;
use crate::platform::Platform;
use crate::platform::Table;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause after consecutive failed calls, each of which doubles it. Refused calls have a
/// price, too: with a constant pause, 49 gateways that are refused for 9 s would make 3,500 calls.
/// Changes made during an outage are due some seconds after its end.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_500);

/// Pause before another read of a table after the store returned an older state of it.
const STALE_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Pause after a change, so that one call returns several: most changes are followed by others, and
/// each call has a price. The pause delays changes that are due within two seconds.
const BATCH_PAUSE: Duration = Duration::from_millis(200);

/// Pause of the other gateways after a change. It is shorter than the time in which changes are due;
/// mostly the first follower of the data centre, which pauses for `BATCH_PAUSE`, sends them before.
const LONG_BATCH_PAUSE: Duration = Duration::from_millis(1_000);

/// Time between two checks of whether this gateway is to follow closely, or of unconfirmed rows.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows a table until the process ends.
pub async fn follow<P: Platform>(gateway: Rc<Gateway<P>>, table: Table) {
    let mut whole = true;
    let mut is_stale = false;
    let mut pause = RETRY_PAUSE;
    let mut has_failed = false;
    let mut connection = Connection::default();
    loop {
        let call = if whole { None } else { Some(next_call(&gateway, table, connection).await) };
        let sent_at = gateway.now();
        let response = match call {
            Some(call) => gateway.platform.follow(table, gateway.revision(table), call).await,
            None => gateway.platform.read(table).await,
        };
        if call.is_some() {
            match response.as_ref().map_or_else(|failure| failure.is_response(), |_| true) {
                true => connection.record_answer(gateway.now()),
                false => connection.record_end(),
            }
        }
        let failure = response.as_ref().err().filter(|failure| **failure != Failure::HistoryGone);
        if !std::mem::replace(&mut has_failed, failure.is_some()) {
            log_failure(&gateway, table, sent_at, failure);
        }
        match response {
            Ok(update) if whole && update.revision < gateway.revision(table) => {
                // The store returned an older state than this gateway has received from peers.
                gateway.record_store_answers(true, &"");
                if !is_stale {
                    gateway.record_stale_table(table, update.revision);
                }
                is_stale = true;
                time::sleep(STALE_RETRY_PAUSE).await;
            }
            Ok(update) => {
                gateway.record_store_answers(true, &"");
                gateway.apply_update(table, &update, "store");
                let has_changes = !update.changes.is_empty();
                let wait = call.map_or(Millis::ZERO, |call| call.wait);
                let proven = table_age::proven_by_answer(sent_at, wait, has_changes);
                gateway.confirm_table(table, proven.min(gateway.now()));
                (whole, is_stale) = (false, false);
                if has_changes {
                    time::sleep(batch_pause(&gateway)).await;
                }
            }
            Err(Failure::HistoryGone) => {
                gateway.event_log.state(format_args!(
                    "the store has no history of {} since the known revision, reading all of it",
                    table.name()
                ));
                whole = true;
            }
            // The call has waited for long enough, and the store may answer on a new connection.
            Err(failure @ Failure::Lost) => gateway.record_store_answers(false, &failure),
            Err(failure) => {
                gateway.record_store_answers(false, &failure);
                time::sleep(pause).await;
                // Without any copy of the table this gateway cannot serve, so the pause stays
                // short.
                let max_pause = if gateway.knows(table) { MAX_RETRY_PAUSE } else { RETRY_PAUSE };
                pause = max_pause.min(2 * pause);
                continue;
            }
        }
        pause = RETRY_PAUSE;
    }
}

/// Logs the first of consecutive failed calls, if the response is one.
fn log_failure<P: Platform>(
    gateway: &Gateway<P>,
    table: Table,
    sent_at: Millis,
    failure: Option<&Failure>,
) {
    let Some(failure) = failure else { return };
    gateway.event_log.state(format_args!(
        "cannot follow {}: {failure}, {} after the call, {}",
        table.name(),
        gateway.now().since(sent_at),
        gateway.table_age_text(table)
    ));
}

/// Waits for rows that the store has lost. Checks them until their servers have written them again
/// or they have expired. Runs until the process ends.
pub async fn watch_unconfirmed_rows<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        gateway.rows_lost.notified().await;
        while gateway.settle() {
            time::sleep(CHECK_INTERVAL).await;
        }
    }
}

fn store_following<P: Platform>(gateway: &Gateway<P>) -> StoreFollowing {
    let now = gateway.now();
    gateway.with_members(|members| members.store_following(now))
}

/// The next call. While other gateways follow closely, this returns only once the table is overdue, the
/// others are gone, or this gateway is cut off from them.
async fn next_call<P: Platform>(
    gateway: &Gateway<P>,
    table: Table,
    connection: Connection,
) -> FollowCall {
    let waiting = || gateway.follow_calls.waiting(connection, gateway.now());
    if store_following(gateway) != StoreFollowing::Loose {
        return waiting();
    }
    tokio::select! {
        () = until_overdue(gateway, table) => gateway.follow_calls.polling(),
        () = until_follows_closely(gateway) => waiting(),
    }
}

/// Waits until a table is overdue and no other gateway has helped for a random time: one that reads the
/// table sends it to the others.
async fn until_overdue<P: Platform>(gateway: &Gateway<P>, table: Table) {
    loop {
        while !gateway.is_table_overdue(table) {
            time::sleep(CHECK_INTERVAL).await;
        }
        let delay = gateway.with_members(|members| members.loose_poll_delay(&mut rand::rng()));
        time::sleep(delay.into()).await;
        if gateway.is_table_overdue(table) {
            return;
        }
    }
}

/// Pause after a change of the store.
fn batch_pause<P: Platform>(gateway: &Gateway<P>) -> Duration {
    match store_following(gateway) {
        StoreFollowing::First => BATCH_PAUSE,
        StoreFollowing::Close | StoreFollowing::Loose => LONG_BATCH_PAUSE,
    }
}

/// Waits until this gateway is to follow closely.
async fn until_follows_closely<P: Platform>(gateway: &Gateway<P>) {
    while store_following(gateway) == StoreFollowing::Loose {
        time::sleep(CHECK_INTERVAL).await;
    }
}
