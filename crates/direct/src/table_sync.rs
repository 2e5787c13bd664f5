//! Copies of the platform's tables: tasks that read each table in full once and then follow it.
//! Input: responses of the platform's store. State: per task, whether a full read is due.
//! It decides when to call the store and how long to wait; the gateway applies the updates.

use std::rc::Rc;
use std::time::Duration;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::StoreFollowing;
use tokio::time;

use crate::gateway::Gateway;
use crate::gateway::Phase;
use crate::peers::messages;
use crate::platform::Failure;
use crate::platform::MAX_MEMBER_ROWS;
use crate::platform::Platform;
use crate::platform::Table;

/// Time for which one call waits for changes. A call whose response was lost delivers nothing until
/// its time-out, and changes are due two seconds after the store has been stable for three. So the
/// wait and its time-out together stay below three seconds. Each call has a price, so the wait is
/// not much shorter.
const FOLLOW_WAIT: Duration = Duration::from_millis(2_000);

/// The same for a gateway of whose data centre another one waits for `FOLLOW_WAIT`.
const LONG_FOLLOW_WAIT: Duration = Duration::from_millis(8_000);

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
const MEMBERS_POLL_INTERVAL: Millis = Millis(60_000);

/// Time between two polls of that table while no other gateway is known to be alive.
const ALONE_POLL_INTERVAL: Millis = Millis(2_000);

/// Time from its start in which a gateway may find others by its seeds, before it reads the table.
const ALONE_DELAY: Millis = Millis(500);

/// Pause after a failed call for the table of gateways; doubled with each further failure, as often
/// as `MAX_DOUBLINGS` says.
const MEMBERS_RETRY_MS: u64 = 125;
const MAX_DOUBLINGS: u32 = 4;

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

fn store_following<P: Platform>(gateway: &Gateway<P>) -> StoreFollowing {
    let now = gateway.now();
    gateway.with_members(|members| members.store_following(now))
}

/// The time for which the next call may wait for changes. While other gateways follow closely, this
/// returns only after the poll interval, or once they are gone or this gateway is cut off from
/// them.
async fn next_wait<P: Platform>(gateway: &Gateway<P>) -> Duration {
    match store_following(gateway) {
        StoreFollowing::First => return FOLLOW_WAIT,
        StoreFollowing::Close => return LONG_FOLLOW_WAIT,
        StoreFollowing::Loose => {}
    }
    let interval = gateway.with_members(|members| members.loose_poll_interval());
    tokio::select! {
        () = time::sleep(Duration::from(interval)) => Duration::ZERO,
        () = until_follows_closely(gateway) => FOLLOW_WAIT,
    }
}

/// Waits until this gateway is to follow closely.
async fn until_follows_closely<P: Platform>(gateway: &Gateway<P>) {
    while store_following(gateway) == StoreFollowing::Loose {
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Keeps the platform's table of gateways while this gateway is the one that does, until this
/// process stops.
pub async fn keep_members_table<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut keeper = Keeper::default();
    while gateway.phase() == Phase::Running {
        if keeper.is_due(&gateway) {
            let kept = keep(&gateway, &mut keeper).await;
            keeper.record_result(kept.is_ok(), gateway.now());
        }
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Removes the row of this gateway, which stops, if no other gateway is alive that removes it.
pub async fn remove_own_row<P: Platform>(gateway: &Gateway<P>) {
    let now = gateway.now();
    let (name, is_alone) =
        gateway.with_members(|members| (members.own().name.clone(), members.count_alive(now) == 1));
    if is_alone && let Err(failure) = gateway.platform.write_members(&[(name, None)]).await {
        gateway.event_log.state(format_args!("cannot remove the own row of the table: {failure}"));
    }
}

/// When this gateway reads and writes the table of gateways.
#[derive(Clone, Copy, Debug, Default)]
struct Keeper {
    /// Since when this gateway is the one that keeps the table.
    since: Option<Millis>,
    /// Era in which the table was read and written last.
    era: Option<u64>,
    read_at: Option<Millis>,
    /// No call is made before this time.
    not_before: Millis,
    failures: u32,
}

impl Keeper {
    /// Whether a call is due: the table was not read for long or since an era began, or rows are
    /// missing. A gateway that has just started, or just lost others, knows few gateways and may
    /// be the keeper for a moment only.
    fn is_due<P: Platform>(&mut self, gateway: &Gateway<P>) -> bool {
        let now = gateway.now();
        let (keeps, is_alone, is_missing_rows, delay) = gateway.with_members(|members| {
            let is_alone = members.count_alive(now) == 1;
            let delay = if is_alone { ALONE_DELAY } else { members.propagation_time() };
            let is_missing_rows = !members.missing_rows(now).is_empty();
            (members.keeps_table(now), is_alone, is_missing_rows, delay)
        });
        if !keeps {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        if now.since(since) < delay || now < self.not_before {
            return false;
        }
        let interval = if is_alone { ALONE_POLL_INTERVAL } else { MEMBERS_POLL_INTERVAL };
        self.must_read(gateway, interval, now) || is_missing_rows
    }

    fn must_read<P: Platform>(&self, gateway: &Gateway<P>, interval: Millis, now: Millis) -> bool {
        let is_old = self.read_at.is_none_or(|at| now.since(at) >= interval);
        // The store may have lost rows that were written in an earlier era.
        is_old || self.era < gateway.era()
    }

    fn record_result(&mut self, succeeded: bool, now: Millis) {
        self.failures = if succeeded { 0 } else { self.failures + 1 };
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = if succeeded { Millis::ZERO } else { Millis(MEMBERS_RETRY_MS << doublings) };
        self.not_before = now + pause;
    }
}

/// Reads the table of gateways if that is due, removes rows of gateways that do not exist any more,
/// and writes the missing ones.
async fn keep<P: Platform>(gateway: &Gateway<P>, keeper: &mut Keeper) -> Result<(), Failure> {
    let is_alone = gateway.with_members(|members| members.count_alive(gateway.now()) == 1);
    let interval = if is_alone { ALONE_POLL_INTERVAL } else { MEMBERS_POLL_INTERVAL };
    let mut rows: Vec<(String, Option<String>)> = Vec::new();
    if keeper.must_read(gateway, interval, gateway.now()) {
        let update = gateway.platform.read(Table::Members).await?;
        // Recording a new era also records which gateways were listed before it, so it comes first.
        gateway.record_era(update.revision.era);
        if gateway.era() > Some(update.revision.era) {
            return Err(Failure::HistoryGone);
        }
        let values = update.changes.iter().filter_map(|change| change.value.as_deref());
        let listed: Vec<Member> = values.filter_map(messages::member_from_json).collect();
        let removed = gateway.with_members(|members| members.apply_table(&listed, gateway.now()));
        rows.extend(removed.into_iter().map(|name| (name, None)));
        (keeper.era, keeper.read_at) = (gateway.era(), Some(gateway.now()));
    }
    let missing = gateway.with_members(|members| members.missing_rows(gateway.now()));
    let missing = missing.iter();
    rows.extend(missing.map(|one| (one.name.clone(), Some(messages::member_to_json(one)))));
    for batch in rows.chunks(MAX_MEMBER_ROWS) {
        gateway.platform.write_members(batch).await?;
        for (name, value) in batch {
            if value.is_none() {
                gateway.event_log.state(format_args!("removed the row of gateway {name}"));
            }
        }
        let written = batch.iter().filter(|(_, value)| value.is_some());
        let written = written.map(|(name, _)| name.clone()).collect::<Vec<_>>();
        gateway.with_members(|members| members.record_listed(written));
    }
    Ok(())
}
