//! Keeps the tables of the platform up to date: read whole once, then followed.

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

/// How long one call waits for changes. A call whose answer was lost says nothing more, and what
/// changes meanwhile is due within two seconds of the store's being stable for three: so the wait
/// and its time-out stay below three seconds. Calls are priced, so it is not much shorter.
const WAIT: Duration = Duration::from_millis(2_000);

/// Time between two looks at a table where others of the data centre follow it closely: what changes
/// meanwhile comes from them, and whoever loses sight of them, or of all others, follows closely itself
/// within the 3 s in which that is noticed. Nearly all gateways of a large fleet follow so: waiting calls
/// of 149 gateways were all answered at each change, 1,043 calls for seven of the configuration. It stays
/// below the 20 s of history that the users' store keeps.
const LOOSE_EVERY: Duration = Duration::from_millis(15_000);

/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after calls that failed one after the other, each doubling it: refused calls are priced,
/// too, and 49 gateways that are turned away for 9 s make 3,500 with a pause that stays as it is (by
/// reckoning). What changed in an outage is due 5 s after its end, and comes from peers meanwhile.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// Pause before a table is read again that was read from the past.
const STALE_PAUSE: Duration = Duration::from_millis(400);

/// Pause after a change: more often than not others follow, and each call has a price. It delays what
/// is due within two seconds.
const GATHER: Duration = Duration::from_millis(200);

/// Time between two looks at whether a gateway still follows loosely.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Time between two looks at the table of gateways: it is needed only by those that no other
/// gateway knows.
const MEMBERS_EVERY: Duration = Duration::from_secs(60);

/// The same while no other gateway is known to live.
const ALONE_EVERY: Duration = Duration::from_secs(2);

/// Follows a table until the process ends.
pub async fn follow<P: Platform>(gateway: Rc<Gateway<P>>, table: Table) {
    let mut whole = true;
    let mut is_old = false;
    let mut pause = PAUSE;
    loop {
        let asked = if whole {
            gateway.platform.read(table).await
        } else {
            let wait = next_wait(&gateway).await;
            gateway.platform.follow(table, gateway.revision(table), wait).await
        };
        match asked {
            Ok(update) if whole && update.revision < gateway.revision(table) => {
                // The store answers from the past, and others have told us more.
                gateway.note_store(true, &"");
                if !is_old {
                    gateway.note_old_table(table, update.revision);
                }
                is_old = true;
                time::sleep(STALE_PAUSE).await;
            }
            Ok(update) => {
                gateway.note_store(true, &"");
                gateway.take(table, &update, "store");
                (whole, is_old) = (false, false);
                if !update.changes.is_empty() {
                    time::sleep(GATHER).await;
                }
            }
            Err(Failure::HistoryGone) => {
                gateway.journal.state(format_args!("{} is read anew", table.name()));
                whole = true;
            }
            Err(failure) => {
                gateway.note_store(false, &failure);
                time::sleep(pause).await;
                // Whoever knows nothing yet cannot serve meanwhile.
                let longest = if gateway.knows(table) { LONGEST_PAUSE } else { PAUSE };
                pause = longest.min(2 * pause);
                continue;
            }
        }
        pause = PAUSE;
    }
}

/// Waits for servers to write again what the store has lost of them, until the process ends.
pub async fn watch_unconfirmed_rows<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        gateway.rows_lost.notified().await;
        while gateway.settle() {
            time::sleep(LOOK_EVERY).await;
        }
    }
}

fn follows_closely<P: Platform>(gateway: &Gateway<P>) -> bool {
    let now = gateway.now();
    gateway.with_members(|members| members.follows_closely(now))
}

/// How long the next call may wait for changes; where others follow closely, it comes only after a
/// while, or once they are gone or this gateway is cut off from them.
async fn next_wait<P: Platform>(gateway: &Gateway<P>) -> Duration {
    if follows_closely(gateway) {
        return WAIT;
    }
    tokio::select! {
        () = time::sleep(LOOSE_EVERY) => Duration::ZERO,
        () = until_close(gateway) => WAIT,
    }
}

/// Waits until this gateway shall follow closely.
async fn until_close<P: Platform>(gateway: &Gateway<P>) {
    while !follows_closely(gateway) {
        time::sleep(LOOK_EVERY).await;
    }
}

/// Lists this gateway, and reads who else is listed, now and then, until it stops.
pub async fn maintain_membership_row<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut eras = gateway.watch_eras();
    let (mut listed_in, mut pause) = (None, PAUSE);
    // A process that stops is taken off the list, and must not come back onto it.
    while gateway.phase() == Phase::Running {
        let own = gateway.with_members(|members| members.own().clone());
        // Written again after a drill: what others write again they tell each other, too.
        let mut reads = true;
        if listed_in < gateway.era() || listed_in.is_none() {
            reads = listed_in.is_none();
            let value = messages::member_to_json(&own);
            let written_in = gateway.platform.write_member(&own.name, Some(&value)).await.ok();
            listed_in = written_in.filter(|era| Some(*era) >= gateway.era());
        }
        if reads && let Ok(update) = gateway.platform.read(Table::Members).await {
            // Those that could not hear of this gateway have removed its row.
            let is_listed = update.changes.iter().any(|change| change.key == own.name);
            listed_in = listed_in.filter(|_| is_listed);
            take_table(&gateway, &update).await;
        }
        let now = gateway.now();
        let Some(era) = listed_in else {
            pause = LONGEST_PAUSE.min(2 * pause);
            time::sleep(pause).await;
            continue;
        };
        pause = PAUSE;
        let alone = gateway.with_members(|members| members.count_alive(now)) == 1;
        tokio::select! {
            () = time::sleep(if alone { ALONE_EVERY } else { MEMBERS_EVERY }) => {}
            // What was written in the era before may be lost.
            _ = eras.wait_for(|now| *now > Some(era)) => {
                time::sleep(gateway.turn_to_write()).await;
            }
        }
    }
}

/// Takes the table of gateways, and removes the rows of those that are gone for good.
async fn take_table<P: Platform>(gateway: &Gateway<P>, update: &Update) {
    // What was listed before is kept as an era is noted.
    gateway.note_era(update.revision.era);
    if gateway.era() > Some(update.revision.era) {
        return;
    }
    let now = gateway.now();
    let texts = update.changes.iter().filter_map(|change| change.value.as_deref());
    let listed: Vec<Member> = texts.filter_map(messages::member_from_json).collect();
    for name in gateway.with_members(|members| members.apply_table(&listed, now)) {
        match gateway.platform.write_member(&name, None).await {
            Ok(_) => gateway.journal.state(format_args!("{name} is listed no more")),
            // It is tried again at the next reading.
            Err(failure) => {
                gateway.journal.state(format_args!("{name} stays listed: {failure}"));
            }
        }
    }
}
