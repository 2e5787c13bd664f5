//! Leader of a group's ranks: plans the group's expert map and switches the ranks to it.
//! Input: the configuration, the lease row, and token counts of experts. State: lease, layout and
//! popularity of experts. Decides when the sidecar leads, and which experts move between ranks.
//!
//! Every sidecar of a group that places experts competes for the group's lease, and the holder
//! leads. The leader's knowledge comes from the ranks: a new leader reads their state, ends the
//! switches of earlier leaders, and continues from there.
//!
//! - [`session`]: one leader's links to the ranks, and its orders.

mod session;

use std::time::Duration;

use eyre::Result;
use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::lease::Lease;
use hooktrestle_core::lease::Next;
use hooktrestle_core::lease::ObservedLease;
use hooktrestle_core::map_switch::Ballot;
use hooktrestle_core::placement;
use hooktrestle_core::placement::Layout;
use hooktrestle_core::placement::Planner;
use hooktrestle_core::popularity;
use hooktrestle_core::popularity::Popularity;
use hooktrestle_link::Identity;
use hooktrestle_platform::Platform;
use hooktrestle_schema::LeaseRow;
use hooktrestle_schema::RowCheck;
use hooktrestle_schema::RowWrite;
use hooktrestle_schema::ServiceRow;
use hooktrestle_schema::SidecarSettings;
use spdlog::info;
use spdlog::warn;
use tokio::time::sleep;

use crate::config_sync;
use crate::directory;
use crate::poll::jittered;
use crate::settings::millis;
use crate::sidecar::group::session::Session;
use crate::sidecar::run::Backend;

/// Table of the leases, with one row for each service.
const LEASES: &str = "leases";

/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// Maximum number of expert weights that one plan loads.
const MAX_LOADS: usize = 96;

/// Maximum time for which the popularity of experts is expected to remain stable.
const MAX_STABLE_MS: f64 = 15.0 * 60.0 * 1_000.0;

/// Context of the leader.
#[derive(Clone, Debug)]
pub(super) struct Context {
    pub(super) platform: Platform,
    pub(super) link: hooktrestle_link::Config,
    pub(super) identity: Identity,
    pub(super) config: config_sync::Watch,
    pub(super) directory: directory::Watch,
    pub(super) backend: Backend,
    pub(super) clock: ProcessClock,
    pub(super) settings: SidecarSettings,
}

/// The group that this sidecar's rank belongs to.
#[derive(Clone, Debug, PartialEq)]
struct Group {
    service: String,
    row: ServiceRow,
    /// Names of the ranks' sidecars, in the order of the ranks.
    members: Vec<String>,
}

/// Competes for the lease, and leads while it is held.
pub(super) async fn lead(context: Context) {
    let holder = format!("{}/{:x}", context.identity.instance, context.identity.incarnation);
    let mut lease = Lease::new(holder.clone(), Millis(context.settings.lease_ms));
    let mut leadership: Option<Leadership> = None;
    loop {
        sleep(jittered(millis(context.settings.lease_ms) / RENEWALS_PER_LEASE)).await;
        let Some(group) = group(&context) else {
            leadership = None;
            continue;
        };
        if let Err(error) = renew(&context, &mut lease, &holder, &group.service).await {
            warn!("cannot renew the lease", kv: { error: = error.to_string().as_str() });
        }
        let Some(epoch) = lease.epoch(context.clock.now()) else {
            leadership = None;
            continue;
        };
        let changed = leadership.as_ref().is_some_and(|current| current.group != group);
        if changed {
            leadership = None;
            lease.require_new_epoch();
            continue;
        }
        if leadership.as_ref().is_none_or(|current| current.epoch != epoch) {
            info!("leading", kv: { service: = group.service.as_str(), epoch });
            leadership = Some(Leadership::new(&context, group, epoch));
        }
        if let Some(current) = &mut leadership
            && let Err(error) = current.run_due(&context).await
        {
            // Leadership restarts under the next epoch, and reads the state of the ranks again:
            // only their state counts.
            warn!("leadership interrupted", kv: { error: = error.to_string().as_str() });
            leadership = None;
            lease.require_new_epoch();
        }
    }
}

/// The group of this sidecar's rank. `None` if the configuration does not name this sidecar, or if
/// its service places no experts.
fn group(context: &Context) -> Option<Group> {
    let in_force = context.config.borrow().clone()?;
    let config = &in_force.config;
    let server = config.server(&context.identity.instance)?;
    let service = &config.services[config.servers[server].service];
    if service.row.experts_per_layer == 0 {
        return None;
    }
    let mut members: Vec<String> =
        service.servers.iter().map(|key| config.servers[*key].name.clone()).collect();
    members.sort();
    Some(Group { service: service.name.clone(), row: service.row.clone(), members })
}

async fn renew(context: &Context, lease: &mut Lease, holder: &str, service: &str) -> Result<()> {
    let row = context.platform.row(LEASES, service).await?;
    let observed = match row {
        None => None,
        Some(row) => {
            let LeaseRow { holder, epoch } = serde_json::from_value(row.value)?;
            Some(ObservedLease { version: row.version, holder, epoch })
        }
    };
    let began = context.clock.now();
    let Next::Write { if_version, epoch } = lease.observe_row(began, observed.as_ref()) else {
        return Ok(());
    };
    let (table, key) = (LEASES.to_owned(), service.to_owned());
    let check = RowCheck { table: table.clone(), key: key.clone(), version: if_version };
    let value = serde_json::to_value(LeaseRow { holder: holder.to_owned(), epoch })?;
    match context.platform.transact(vec![check], vec![RowWrite { table, key, value }]).await {
        Ok(_) => lease.wrote(began, epoch),
        Err(error) if error.conflicts().is_some() => {}
        Err(error) => return Err(error.into()),
    }
    Ok(())
}

/// One term of leadership, under one epoch of the lease.
#[derive(Debug)]
struct Leadership {
    epoch: u64,
    group: Group,
    session: Session,
    /// The layout in use; `None` until the ranks have reported it.
    layout: Option<Layout>,
    popularity: Popularity,
    planner: Planner,
    previous_counts: Vec<f64>,
    plan_at: Millis,
}

impl Leadership {
    fn new(context: &Context, group: Group, epoch: u64) -> Leadership {
        let ballot = Ballot { number: epoch, proposer: 0 };
        let experts = group.row.experts_per_layer as usize;
        let planner = placement::Config {
            weight_skew: group.row.weight_skew,
            weight_rebalance: group.row.weight_rebalance,
            load_ms: context.settings.load_ms as f64,
            max_loads: MAX_LOADS,
        };
        Leadership {
            epoch,
            session: Session::new(context, ballot, &group.members),
            layout: None,
            popularity: Popularity::new(popularity::Config::default(), experts),
            planner: Planner::new(planner),
            previous_counts: vec![0.0; experts],
            plan_at: Millis::ZERO,
            group,
        }
    }

    /// Does the work that is due: has the ranks join, or plans a layout and switches to it.
    async fn run_due(&mut self, context: &Context) -> Result<()> {
        let within = millis(context.settings.switch_ms);
        if self.layout.is_none() {
            let columns = self.session.join(context, within).await?;
            self.layout = Some(layout(&columns, self.previous_counts.len())?);
        }
        let now = context.clock.now();
        if now < self.plan_at {
            return Ok(());
        }
        self.plan_at = now + Millis(context.settings.plan_ms);
        self.plan(context, within).await
    }

    async fn plan(&mut self, context: &Context, within: Duration) -> Result<()> {
        let counts = context.backend.counts().await?;
        self.session.observe_step(counts.step_number);
        let new_counts: Vec<f64> = counts
            .tokens
            .iter()
            .zip(&self.previous_counts)
            .map(|(new, old)| (new - old).max(0.0))
            .collect();
        eyre::ensure!(
            new_counts.len() == self.previous_counts.len(),
            "the engine reported counts of {} experts",
            new_counts.len()
        );
        self.previous_counts = counts.tokens;
        self.popularity.observe(&new_counts);
        let Some(old) = &self.layout else { return Ok(()) };
        let mut new = old.clone();
        let stable_ms = self.popularity.stable_counts() * context.settings.plan_ms as f64;
        let expected_stable_ms = stable_ms.min(MAX_STABLE_MS);
        let shares = self.popularity.shares();
        let moves = self.planner.plan(&mut new, shares, &[], expected_stable_ms);
        if moves.is_empty() {
            return Ok(());
        }
        let (skew_before, skew_after) = (old.skew(shares), new.skew(shares));
        let horizon = context.settings.horizon_steps;
        if self.session.switch(context, &new, horizon, within).await? {
            let service = self.group.service.as_str();
            info!("expert map switched", kv: { service, loads: = moves.len(), skew_before, skew_after });
            self.layout = Some(new);
        } else {
            warn!("expert map switch aborted", kv: { service: = self.group.service.as_str() });
        }
        Ok(())
    }
}

/// The layout that the ranks reported, after validation.
fn layout(columns: &[Vec<u16>], experts: usize) -> Result<Layout> {
    let columns: Vec<Vec<placement::Expert>> = columns
        .iter()
        .map(|column| column.iter().map(|expert| placement::Expert(*expert)).collect())
        .collect();
    let slots = columns.first().map_or(0, Vec::len);
    for (rank, column) in columns.iter().enumerate() {
        let mut sorted = column.clone();
        sorted.sort();
        sorted.dedup();
        let fits = column.len() == slots && sorted.len() == slots;
        let known = sorted.iter().all(|expert| usize::from(expert.0) < experts);
        eyre::ensure!(
            fits && known,
            "rank {rank} reported invalid experts {column:?}, of {experts} in total"
        );
    }
    for expert in (0..experts).map(|index| placement::Expert(index as u16)) {
        let is_placed = columns.iter().any(|column| column.contains(&expert));
        eyre::ensure!(is_placed, "{expert:?} is on no rank");
    }
    Ok(Layout::from_ranks(experts, &columns))
}
