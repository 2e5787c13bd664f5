//! Copies of the platform's tables: tasks that read each table in full once and then follow it.
//! Input: responses of the platform's store. State: per task, whether a full read is due.
//! It decides when to call the store and how long to wait; the gateway applies the updates.

use std::rc::Rc;
use std::time::Duration;

use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::replica::Update;
use tokio::time;

use crate::gateway::Gateway;
use crate::gateway::Phase;
use crate::peers::messages;
use crate::platform::Failure;
use crate::platform::Platform;
use crate::platform::Table;

/// Time for which one call waits for changes. A call whose response was lost delivers nothing until
/// its time-out, and changes are due two seconds after the store has been stable for three. So the
/// wait and its time-out together stay below three seconds. Each call has a price, so the wait is
/// not much shorter.
const FOLLOW_WAIT: Duration = Duration::from_millis(2_000);

/// Time between two polls of a table that other gateways of the data centre follow closely. Changes
/// in between come from these. A gateway that loses contact with them, or with all others, detects
/// that within 3 s and then follows closely itself. Nearly all gateways of a large fleet follow
/// loosely: waiting calls of 149 gateways all get a response at each change, which makes 1,043
/// calls for seven changes of the configuration. The interval is below the 20 s of history that the
/// users' store has.
const LOOSE_POLL_INTERVAL: Duration = Duration::from_millis(15_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause after consecutive failed calls, each of which doubles it. Refused calls have a
/// price, too: with a constant pause, 49 gateways that are refused for 9 s would make 3,500 calls.
/// Changes made during an outage are due 5 s after its end, and arrive from peers meanwhile.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_500);

/// Pause before another read of a table after the store returned an older state of it.
const STALE_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Pause after a change, so that one call returns several: most changes are followed by others, and
/// each call has a price. The pause delays changes that are due within two seconds.
const BATCH_PAUSE: Duration = Duration::from_millis(200);

/// Time between two checks of whether this gateway is to follow closely, or of unconfirmed rows.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two polls of the table of gateways. Only a gateway that no other gateway knows
/// needs the table.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_secs(60);

/// Time between two polls of that table while no other gateway is known to be alive.
const ALONE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Follows a table until the process ends.
pub async fn follow<P: Platform>(gateway: Rc<Gateway<P>>, table: Table) {
    let mut whole = true;
    let mut is_stale = false;
    let mut pause = RETRY_PAUSE;
    loop {
        let response = if whole {
            gateway.platform.read(table).await
        } else {
            let wait = next_wait(&gateway).await;
            gateway.platform.follow(table, gateway.revision(table), wait).await
        };
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
                (whole, is_stale) = (false, false);
                if !update.changes.is_empty() {
                    time::sleep(BATCH_PAUSE).await;
                }
            }
            Err(Failure::HistoryGone) => {
                gateway.event_log.state(format_args!(
                    "the store has no history of {} since the known revision, reading all of it",
                    table.name()
                ));
                whole = true;
            }
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

fn follows_closely<P: Platform>(gateway: &Gateway<P>) -> bool {
    let now = gateway.now();
    gateway.with_members(|members| members.follows_closely(now))
}

/// The time for which the next call may wait for changes. While other gateways follow closely, this
/// returns only after the poll interval, or once they are gone or this gateway is cut off from
/// them.
async fn next_wait<P: Platform>(gateway: &Gateway<P>) -> Duration {
    if follows_closely(gateway) {
        return FOLLOW_WAIT;
    }
    tokio::select! {
        () = time::sleep(LOOSE_POLL_INTERVAL) => Duration::ZERO,
        () = until_follows_closely(gateway) => FOLLOW_WAIT,
    }
}

/// Waits until this gateway is to follow closely.
async fn until_follows_closely<P: Platform>(gateway: &Gateway<P>) {
    while !follows_closely(gateway) {
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Writes the row of this gateway to the table of gateways, and polls the table for other gateways,
/// until this process stops.
pub async fn maintain_membership_row<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut eras = gateway.watch_eras();
    let (mut row_era, mut pause) = (None, RETRY_PAUSE);
    // The row of a process that stops is removed, and must not be written again.
    while gateway.phase() == Phase::Running {
        let own = gateway.with_members(|members| members.own().clone());
        // After a new era of the store the row is written again without a read: rows that other
        // gateways write again are known by gossip, too.
        let mut reads = true;
        if row_era < gateway.era() || row_era.is_none() {
            reads = row_era.is_none();
            let value = messages::member_to_json(&own);
            let written_era = gateway.platform.write_member(&own.name, Some(&value)).await.ok();
            row_era = written_era.filter(|era| Some(*era) >= gateway.era());
        }
        if reads && let Ok(update) = gateway.platform.read(Table::Members).await {
            // Gateways that received no heartbeat of this one may have removed its row.
            let is_listed = update.changes.iter().any(|change| change.key == own.name);
            row_era = row_era.filter(|_| is_listed);
            apply_members_table(&gateway, &update).await;
        }
        let now = gateway.now();
        let Some(era) = row_era else {
            pause = MAX_RETRY_PAUSE.min(2 * pause);
            time::sleep(pause).await;
            continue;
        };
        pause = RETRY_PAUSE;
        let alone = gateway.with_members(|members| members.count_alive(now)) == 1;
        tokio::select! {
            () = time::sleep(if alone { ALONE_POLL_INTERVAL } else { MEMBERS_POLL_INTERVAL }) => {}
            // The store may have lost a row that was written in an earlier era.
            _ = eras.wait_for(|now| *now > Some(era)) => {
                time::sleep(gateway.write_delay()).await;
            }
        }
    }
}

/// Applies the table of gateways, and removes the rows of gateways that do not exist any more.
async fn apply_members_table<P: Platform>(gateway: &Gateway<P>, update: &Update) {
    // Recording a new era also records which gateways were listed before it, so it comes first.
    gateway.record_era(update.revision.era);
    if gateway.era() > Some(update.revision.era) {
        return;
    }
    let now = gateway.now();
    let values = update.changes.iter().filter_map(|change| change.value.as_deref());
    let listed: Vec<Member> = values.filter_map(messages::member_from_json).collect();
    for name in gateway.with_members(|members| members.apply_table(&listed, now)) {
        match gateway.platform.write_member(&name, None).await {
            Ok(_) => gateway.event_log.state(format_args!("removed the row of gateway {name}")),
            // This is retried after the next read of the table.
            Err(failure) => {
                gateway
                    .event_log
                    .state(format_args!("cannot remove the row of gateway {name}: {failure}"));
            }
        }
    }
}
