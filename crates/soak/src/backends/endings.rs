//! Planned ends of servers, in all ways of the users' platform.
//! Input: the faults in which servers leave and end. State: that of the backends.
//! Decides how a server leaves, for how long it serves, and what becomes of its address.

use std::rc::Rc;
use std::time::Duration;

use hooktrestle_users_standin::server::Action;
use hooktrestle_users_standin::server::Server;
use tokio::time;
use tokio::time::Instant;

use super::Backends;
use super::ProxiedServer;
use super::Temperature;
use super::groups::GROUP_STALL;

/// Time for which a leaving server serves, by target: a little longer than the drain bound, or much
/// longer.
const SERVES_MS: [u64; 3] = [2_100, 2_600, 6_000];

/// Longest time after that in which a server finishes what it runs.
const MAX_FINISHING: Duration = Duration::from_secs(8);

/// Time between two checks of whether a server has finished what it runs.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the end of a server until its address goes to a server of another service, and for how
/// long that one runs.
const ADDRESS_UNUSED: Duration = Duration::from_millis(300);
const ADDRESS_REUSED: Duration = Duration::from_secs(4);

/// The service of a server that got the address of another one.
const OTHER_SERVICE: &str = "other";

/// How much earlier than the end of their halt the servers of a group cut off what they run.
const CUT_LEAD: Duration = Duration::from_millis(20);

/// The longest time from the begin of a planned end until the server has ended.
pub const MAX_END_DURATION: Duration =
    Duration::from_millis(SERVES_MS[2] + MAX_FINISHING.as_millis() as u64);

/// How a server leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Notice {
    /// Its row marks it as leaving.
    Row,
    /// Its row is removed, and never marks it as leaving.
    NoRow,
    /// Its row marks it as leaving, and it closes its connections after their next answer.
    RowAndClose,
    /// Its row is removed, and it closes its connections after their next answer.
    NoRowAndClose,
}

const NOTICES: [Notice; 4] =
    [Notice::Row, Notice::NoRow, Notice::RowAndClose, Notice::NoRowAndClose];

/// A planned end of a server.
#[derive(Clone, Copy, Debug)]
struct PlannedEnd {
    notice: Notice,
    serves: Duration,
    /// Whether it finishes what it runs; else it breaks that off.
    finishes: bool,
    /// Whether a server of another service gets its address.
    is_address_reused: bool,
}

impl PlannedEnd {
    /// The end that a target selects, and the target that is left to select the server.
    fn draw(target: usize) -> (PlannedEnd, usize) {
        let (target, notice) = (target / NOTICES.len(), NOTICES[target % NOTICES.len()]);
        let (target, serves_ms) = (target / SERVES_MS.len(), SERVES_MS[target % SERVES_MS.len()]);
        let end = PlannedEnd {
            notice,
            serves: Duration::from_millis(serves_ms),
            finishes: target.is_multiple_of(2),
            is_address_reused: (target / 2).is_multiple_of(2),
        };
        (end, target / 4)
    }
}

impl Backends {
    /// Replaces a server that leaves, serves for some time and ends.
    pub(super) async fn end_server(self: &Rc<Self>, target: usize) {
        let (end, target) = PlannedEnd::draw(target);
        let Some(proxied) = self.pick(target) else { return };
        self.begin_leaving(&proxied);
        self.add_server(Temperature::Warm, proxied.group).await;
        self.leave(&proxied, end).await;
        if end.is_address_reused {
            self.reuse_address(&proxied.server, &proxied).await;
        }
    }

    /// Replaces the servers of a group one after the other, until a time has passed. As each ends, the
    /// others stop as after a crash.
    pub(super) async fn release_in_lock_step(self: &Rc<Self>, target: usize, duration: Duration) {
        let Some(picked) = self.pick(target) else { return };
        let until = Instant::now() + duration;
        let leaving: Vec<String> =
            self.leaving.borrow().iter().map(|one| one.server.id.clone()).collect();
        let members = self.group_members(picked.group);
        for (number, proxied) in members.into_iter().enumerate() {
            if leaving.contains(&proxied.server.id) || proxied.server.has_crashed() {
                continue;
            }
            if Instant::now() >= until {
                return;
            }
            let (end, _) = PlannedEnd::draw(target + number);
            self.begin_leaving(&proxied);
            let serves = Duration::from_millis(SERVES_MS[0]);
            self.leave(&proxied, PlannedEnd { serves, finishes: false, ..end }).await;
            self.stop_in_lock_step(proxied.group).await;
            self.add_server(Temperature::Warm, proxied.group).await;
            self.restart_group(proxied.group).await;
        }
    }

    /// Makes the servers of a group stand still, cut off what they run, and refuse requests until the
    /// group is started again.
    async fn stop_in_lock_step(&self, group: u32) {
        self.groups.stop(group);
        let members = self.group_members(group);
        for ProxiedServer { server, .. } in &members {
            server.set_default_action(Action::Refuse);
            server.halt(GROUP_STALL);
            self.ledger.losses.record_halt(&server.id, GROUP_STALL);
        }
        // The halt ends after the answers are cut off: none goes on in between.
        time::sleep(GROUP_STALL - CUT_LEAD).await;
        self.cut(&members).await;
    }

    fn begin_leaving(&self, proxied: &ProxiedServer) {
        self.deactivate(&proxied.server.id);
        self.leaving.borrow_mut().push(proxied.clone());
    }

    /// Gives notice that a server leaves, lets it serve, and ends it.
    async fn leave(&self, proxied: &ProxiedServer, end: PlannedEnd) {
        let ProxiedServer { server, .. } = proxied;
        if matches!(end.notice, Notice::RowAndClose | Notice::NoRowAndClose) {
            server.close_connections();
        }
        match end.notice {
            Notice::Row | Notice::RowAndClose => {
                self.store.put("servers", &server.id, &proxied.row("draining", Duration::ZERO));
            }
            Notice::NoRow | Notice::NoRowAndClose => self.store.remove("servers", &server.id),
        }
        self.ledger.mark_leaving(&server.id);
        self.ledger.losses.record_leaving(&server.id);
        time::sleep(end.serves).await;
        let until = Instant::now() + MAX_FINISHING;
        while end.finishes && !server.unfinished().is_empty() && Instant::now() < until {
            time::sleep(POLL_INTERVAL).await;
        }
        self.ledger.losses.record_crash(&server.id);
        server.crash();
        self.store.remove("servers", &server.id);
    }

    /// Starts a server of another service at the address of one that has ended, for some time.
    async fn reuse_address(&self, ended: &Server, proxied: &ProxiedServer) {
        time::sleep(ADDRESS_UNUSED).await;
        let id = format!("{}-reused", ended.id);
        let Some(other) = Server::start_at(&id, ended.address).await else { return };
        other.set_default_action(Action::RefuseAsOther);
        self.ledger.watch_server(&other);
        let mut row = proxied.row("ready", Duration::ZERO);
        row["service"] = OTHER_SERVICE.into();
        self.store.put("servers", &id, &row);
        time::sleep(ADDRESS_REUSED).await;
        self.store.remove("servers", &id);
        other.crash();
    }
}
