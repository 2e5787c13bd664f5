//! The platform's table of gateways, which one gateway keeps for all.
//! Input: rows of the table, and the members known by gossip. State: when it was read last.
//! It decides when this gateway reads the table; the core decides which rows are missing.

use std::rc::Rc;
use std::time::Duration;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::Member;
use tokio::time;

use crate::gateway::Gateway;
use crate::peers::messages;
use crate::permits;
use crate::platform::Failure;
use crate::platform::MAX_MEMBER_ROWS;
use crate::platform::Platform;
use crate::platform::Table;

/// Time between two checks of whether a call is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the table. Only a gateway that no other gateway knows needs the table.
const READ_INTERVAL: Millis = Millis(60_000);

/// Time between two reads while no other gateway is known to be alive.
const ALONE_READ_INTERVAL: Millis = Millis(2_000);

/// Time in which a gateway may find others by its seeds, before it reads the table.
const ALONE_DELAY: Millis = Millis(500);

/// Time in which a gateway that awaits its share of the limits may find others, before it reads the
/// table for the first time. If it grants permits, it has to know all gateways.
const FIRST_READ_DELAY: Millis = Millis(100);

/// Time between two checks of whether the first read is due.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a failed call, before it is doubled for each failure, and the maximum number of
/// doublings.
const RETRY_PAUSE_MS: u64 = 125;
const MAX_DOUBLINGS: u32 = 4;

/// Keeps the table while this gateway is the one that does, until this process stops.
pub async fn keep<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut keeper = Keeper::default();
    while !gateway.is_stopping() {
        let done = match keeper.next(&gateway) {
            Next::Nothing => None,
            Next::Read => Some(read_and_write(&gateway, &mut keeper).await),
            Next::Write => Some(write(&gateway, Vec::new()).await),
        };
        if let Some(result) = done {
            keeper.record_result(&gateway, result);
        }
        let awaits_first_read = keeper.read_at.is_none() && permits::awaits_share(&gateway);
        time::sleep(if awaits_first_read { FIRST_CHECK_INTERVAL } else { CHECK_INTERVAL }).await;
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

/// A row to write, or to remove if it has no value.
type Row = (String, Option<String>);

/// What the keeper of the table does next.
enum Next {
    Nothing,
    /// It reads the table, and writes and removes rows.
    Read,
    /// It writes missing rows.
    Write,
}

/// When this gateway reads and writes the table.
#[derive(Clone, Copy, Debug, Default)]
struct Keeper {
    /// Since when this gateway is the one that keeps the table.
    since: Option<Millis>,
    /// Era of the store in which the table was read last.
    era: Option<u64>,
    read_at: Option<Millis>,
    /// No call is made before this time.
    not_before: Millis,
    failures: u32,
}

impl Keeper {
    /// What is due. A gateway that has just started, or just lost others, knows few gateways and
    /// may be the keeper for a moment only, so it waits first.
    fn next<P: Platform>(&mut self, gateway: &Gateway<P>) -> Next {
        let now = gateway.now();
        let (keeps, is_alone, has_missing_rows, propagation_time) =
            gateway.with_members(|members| {
                let has_missing_rows = !members.missing_rows(now).is_empty();
                let is_alone = members.count_alive(now) == 1;
                (members.keeps_table(now), is_alone, has_missing_rows, members.propagation_time())
            });
        if !keeps {
            self.since = None;
            return Next::Nothing;
        }
        let (delay, read_interval) = match is_alone {
            true => (ALONE_DELAY, ALONE_READ_INTERVAL),
            false if self.read_at.is_none() && permits::awaits_share(gateway) => {
                (FIRST_READ_DELAY, READ_INTERVAL)
            }
            false => (propagation_time, READ_INTERVAL),
        };
        let since = *self.since.get_or_insert(now);
        if now.since(since) < delay || now < self.not_before {
            return Next::Nothing;
        }
        let is_old = self.read_at.is_none_or(|at| now.since(at) >= read_interval);
        // The store may have lost rows that were written in an earlier era.
        if is_old || self.era < gateway.era() {
            Next::Read
        } else if has_missing_rows {
            Next::Write
        } else {
            Next::Nothing
        }
    }

    fn record_result<P: Platform>(&mut self, gateway: &Gateway<P>, result: Result<(), Failure>) {
        let Err(failure) = result else {
            (self.failures, self.not_before) = (0, Millis::ZERO);
            return;
        };
        if self.failures == 0 {
            let line = format_args!("cannot keep the table of gateways: {failure}");
            gateway.event_log.state(line);
        }
        self.failures += 1;
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.not_before = gateway.now() + Millis(RETRY_PAUSE_MS << doublings);
    }
}

/// Reads the table, removes the rows of gateways that do not exist any more, and writes the missing
/// ones.
async fn read_and_write<P: Platform>(
    gateway: &Gateway<P>,
    keeper: &mut Keeper,
) -> Result<(), Failure> {
    let update = gateway.platform.read(Table::Members).await?;
    // Recording a new era also records which gateways were listed before it, so it comes first.
    gateway.record_era(update.revision.era);
    if gateway.era() > Some(update.revision.era) {
        return Err(Failure::HistoryGone);
    }
    let values = update.changes.iter().filter_map(|change| change.value.as_deref());
    let listed: Vec<Member> = values.filter_map(messages::member_from_json).collect();
    let now = gateway.now();
    let removed = gateway.with_members(|members| members.apply_table(&listed, now));
    (keeper.era, keeper.read_at) = (gateway.era(), Some(now));
    write(gateway, removed.into_iter().map(|name| (name, None)).collect()).await
}

/// Writes the missing rows, after these ones.
async fn write<P: Platform>(gateway: &Gateway<P>, mut rows: Vec<Row>) -> Result<(), Failure> {
    let missing = gateway.with_members(|members| members.missing_rows(gateway.now()));
    let missing = missing.iter();
    rows.extend(missing.map(|one| (one.name.clone(), Some(messages::member_to_json(one)))));
    for batch in rows.chunks(MAX_MEMBER_ROWS) {
        gateway.platform.write_members(batch).await?;
        let (written, removed): (Vec<&Row>, Vec<&Row>) =
            batch.iter().partition(|(_, value)| value.is_some());
        for (name, _) in removed {
            gateway.event_log.state(format_args!("removed the row of gateway {name}"));
        }
        let names = written.into_iter().map(|(name, _)| name.clone());
        gateway.with_members(|members| members.record_listed(names));
    }
    Ok(())
}
