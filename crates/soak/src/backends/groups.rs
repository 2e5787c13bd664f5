//! Groups of servers that stop, halt, refuse and leave together.
//! Input: a seed, crashes, and faults of groups. State: the groups of which servers have crashed.
//! Decides what the servers of a group do together, and when they work again.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_users_standin::add_second_resumable_route;
use hooktrestle_users_standin::bound_streams;
use hooktrestle_users_standin::proxy::State;
use hooktrestle_users_standin::server::Action;
use hooktrestle_users_standin::set_timeouts;
use serde_json::Value;
use tokio::task;
use tokio::time;
use tokio::time::Instant;

use super::Backends;
use super::ProxiedServer;
use super::Temperature;
use crate::callers::LONG_DEADLINE;

/// Time for which the servers of a group send nothing after a crash, before they cut off what they run,
/// and time from the return of the crashed server until they accept requests.
pub(super) const GROUP_STALL: Duration = Duration::from_millis(1_500);
const GROUP_START: Duration = Duration::from_millis(600);

/// Time in which the servers of a group cut off what they run: longer than between two events.
const CUT_DURATION: Duration = Duration::from_millis(80);

/// Time from the reset of all connections of a server until the last one is reset.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// Delay of each direction of a slow link to a group.
const SLOW_LINK: Duration = Duration::from_millis(40);

/// Time between the replacements of two servers in a release, by target.
const RELEASE_INTERVALS_MS: [u64; 3] = [500, 750, 1_000];

/// Time-outs of the routes beside faults of groups: each configuration changes them.
const TIMEOUTS: [Duration; 3] = [LONG_DEADLINE, Duration::from_secs(7), MIN_TIMEOUT];
/// The shortest of these.
pub const MIN_TIMEOUT: Duration = Duration::from_secs(6);

/// What happens to a group.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// All servers halt, and go on.
    Halts,
    /// All servers halt, and cut off what they run.
    HaltsAndCuts,
    /// The same, and they refuse requests until the group is whole again.
    HaltsAndRefuses,
    /// All servers halt, one crashes, and the others do the same until another one replaces it.
    HaltsAndCrashes,
    /// All servers cut off what they run, inside events.
    Cuts,
    /// All servers refuse requests.
    Refuses,
    /// All servers run requests and lose the answers.
    LosesAnswers,
    /// The link to all servers is slow.
    SlowLink,
}

const TROUBLES: [Trouble; 12] = [
    Trouble::Halts,
    Trouble::HaltsAndCrashes,
    Trouble::Refuses,
    Trouble::HaltsAndCuts,
    Trouble::Halts,
    Trouble::HaltsAndRefuses,
    Trouble::SlowLink,
    Trouble::Cuts,
    Trouble::Halts,
    Trouble::LosesAnswers,
    Trouble::Halts,
    Trouble::Halts,
];

/// The groups of the servers.
#[derive(Debug, Default)]
pub struct Groups {
    /// Number of servers in a group.
    size: usize,
    /// Whether the run has faults of groups: streams then last longer.
    pub(crate) have_faults: bool,
    /// Whether gateways bound the streams of the service and their pauses, in such a run.
    bound_streams: bool,
    /// Whether servers end as planned in the run: a second route of streams may then be resumed.
    have_planned_ends: bool,
    /// The groups of which servers have crashed, once for each.
    stopped: RefCell<Vec<u32>>,
}

impl Groups {
    /// Groups of this many servers.
    pub fn of(size: usize) -> Groups {
        Groups { size, ..Groups::default() }
    }

    /// Groups for a run with faults of groups: all servers, a half or a third of them.
    pub fn draw(seed: u64, servers: usize, have_planned_ends: bool) -> Groups {
        let size = servers.div_ceil(1 + seed as usize % 3);
        let bound_streams = seed % 2 == 1;
        Groups { size, have_faults: true, bound_streams, have_planned_ends, ..Groups::default() }
    }

    /// The group of the server with a number, from 0 on.
    pub(super) fn of_number(&self, number: usize) -> u32 {
        (number / self.size.max(1)) as u32
    }

    /// Records that a server of a group has ended and is not replaced.
    pub(super) fn stop(&self, group: u32) {
        self.stopped.borrow_mut().push(group);
    }

    /// Whether a server of a group has crashed and is not replaced.
    pub(super) fn is_stopped(&self, group: u32) -> bool {
        self.stopped.borrow().contains(&group)
    }
}

impl Backends {
    /// Whether the run has faults of groups.
    pub fn has_group_faults(&self) -> bool {
        self.groups.have_faults
    }

    /// Changes a configuration for a run with faults of groups: each version has other time-outs.
    pub(super) fn configure_for_groups(&self, configuration: &mut Value) {
        let version = self.configurations.newest() as usize;
        if self.groups.have_planned_ends {
            add_second_resumable_route(configuration);
        }
        set_timeouts(configuration, TIMEOUTS[version % TIMEOUTS.len()]);
        if self.groups.bound_streams {
            bound_streams(configuration);
        }
    }

    /// The routes of streams, and whether these may be resumed at another server.
    pub fn stream_routes(&self) -> &'static [(&'static str, bool)] {
        if self.groups.have_planned_ends {
            &[("flow", true), ("brook", false), ("creek", true)]
        } else {
            &[("flow", true), ("brook", false)]
        }
    }

    pub(super) fn group_members(&self, group: u32) -> Vec<ProxiedServer> {
        let (active, leaving) = (self.active.borrow(), self.leaving.borrow());
        let all = active.iter().chain(leaving.iter());
        all.filter(|proxied| proxied.group == group).cloned().collect()
    }

    /// Stops the group of a server that crashed: the others send nothing, then cut off what they run,
    /// and refuse requests.
    pub(super) fn stop_group(self: &Rc<Self>, group: u32) {
        if self.groups.size < 2 {
            return;
        }
        self.groups.stopped.borrow_mut().push(group);
        for ProxiedServer { server, proxy, .. } in self.group_members(group) {
            let ledger = self.ledger.clone();
            task::spawn_local(async move {
                server.set_default_action(Action::Refuse);
                proxy.set_state(State::HoldsAnswers);
                time::sleep(GROUP_STALL).await;
                ledger.losses.record_cut(&server.id, Duration::ZERO);
                proxy.reset();
                proxy.set_state(State::Open);
            });
        }
    }

    /// Starts a group again some time after its last crashed server was replaced.
    pub(super) async fn restart_group(&self, group: u32) {
        if self.groups.size < 2 {
            return;
        }
        time::sleep(GROUP_START).await;
        {
            let mut stopped = self.groups.stopped.borrow_mut();
            let found = stopped.iter().position(|one| *one == group);
            found.map(|index| stopped.remove(index));
        }
        self.let_work(&self.group_members(group));
    }

    fn let_work(&self, members: &[ProxiedServer]) {
        for one in members.iter().filter(|one| !self.groups.is_stopped(one.group)) {
            one.server.set_default_action(Action::Work);
        }
    }

    /// Injects a fault into the group of the server selected by `target`, and waits until it has ended.
    pub(super) async fn trouble_group(self: &Rc<Self>, target: usize, duration: Duration) {
        let Some(picked) = self.pick(target) else { return };
        let members = self.group_members(picked.group);
        let set = |action: Action| {
            members.iter().for_each(|one| one.server.set_default_action(action.clone()));
        };
        let trouble = TROUBLES[target / 12 % TROUBLES.len()];
        match trouble {
            Trouble::Halts
            | Trouble::HaltsAndCuts
            | Trouble::HaltsAndRefuses
            | Trouble::HaltsAndCrashes => {
                for one in &members {
                    one.server.halt(duration);
                    self.ledger.losses.record_halt(&one.server.id, duration);
                }
                time::sleep(duration).await;
            }
            _ => {}
        }
        match trouble {
            Trouble::Halts => {}
            Trouble::HaltsAndCuts | Trouble::Cuts => self.cut(&members).await,
            Trouble::HaltsAndRefuses => {
                set(Action::Refuse);
                self.cut(&members).await;
                time::sleep(GROUP_START).await;
                self.let_work(&members);
            }
            Trouble::HaltsAndCrashes => {
                self.deactivate(&picked.server.id);
                picked.server.crash();
                self.ledger.losses.record_crash(&picked.server.id);
                self.groups.stopped.borrow_mut().push(picked.group);
                set(Action::Refuse);
                self.cut(&members).await;
                self.replace(&picked, duration, Temperature::Warm).await;
            }
            Trouble::Refuses => {
                set(Action::Refuse);
                time::sleep(duration).await;
                self.let_work(&members);
            }
            Trouble::LosesAnswers => {
                set(Action::LoseAnswer);
                let losses = &self.ledger.losses;
                members.iter().for_each(|one| losses.record_lost(&one.server.id, duration));
                time::sleep(duration).await;
                self.let_work(&members);
            }
            Trouble::SlowLink => {
                members.iter().for_each(|one| one.proxy.set_state(State::Slow(SLOW_LINK)));
                time::sleep(2 * duration).await;
                members.iter().for_each(|one| one.proxy.set_state(State::Open));
            }
        }
    }

    /// Makes servers cut off what they run, inside events where they send any.
    pub(super) async fn cut(&self, members: &[ProxiedServer]) {
        for ProxiedServer { server, proxy, .. } in members {
            self.ledger.losses.record_cut(&server.id, CUT_DURATION);
            proxy.set_state(State::CutsAnswers);
        }
        time::sleep(CUT_DURATION).await;
        for ProxiedServer { server, proxy, .. } in members {
            // A connection that is opened meanwhile is reset a little later.
            self.ledger.losses.record_cut(&server.id, RESET_DELAY);
            proxy.reset();
            proxy.set_state(State::Open);
        }
    }

    /// Replaces the servers of the group selected by `target` one after the other, until a time has
    /// passed.
    pub(super) async fn release_group(self: &Rc<Self>, target: usize, duration: Duration) {
        let Some(picked) = self.pick(target) else { return };
        let interval = RELEASE_INTERVALS_MS[target % RELEASE_INTERVALS_MS.len()];
        let end = Instant::now() + duration;
        let members = self.group_members(picked.group);
        let leaving: Vec<String> =
            self.leaving.borrow().iter().map(|one| one.server.id.clone()).collect();
        for proxied in members.into_iter().filter(|one| !leaving.contains(&one.server.id)) {
            if Instant::now() >= end {
                return;
            }
            if !proxied.server.has_crashed() {
                let backends = self.clone();
                task::spawn_local(async move { backends.drain(&proxied).await });
            }
            time::sleep(Duration::from_millis(interval)).await;
        }
    }
}
