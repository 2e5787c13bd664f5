//! One run of one seed.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use eyre::Result;
use hooktrestle_users_standin::caller;
use reqwest::Client;
use tokio::runtime::Builder;
use tokio::task;
use tokio::task::LocalSet;
use tokio::time;
use tokio::time::Instant;

use crate::backends::Backends;
use crate::callers::Caller;
use crate::callers::RunContext;
use crate::callers::probe_configuration;
use crate::callers::send_crashing_requests;
use crate::fleet::Fleet;
use crate::ledger::Bounds;
use crate::ledger::Guarantee;
use crate::ledger::Ledger;
use crate::ledger::Violation;
use crate::schedule::Fault;
use crate::schedule::FaultKind;

/// Time between two changes of the configuration.
const CONFIGURATION_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two looks at what servers saw.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two looks at whether the run's own thread, on which callers, servers and the store are, is late.
const LATENESS_INTERVAL: Duration = Duration::from_millis(20);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's program.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Length of the traffic.
    pub length: Duration,
    /// Gateways.
    pub gateways: usize,
    /// Backend servers.
    pub servers: usize,
    /// Callers.
    pub callers: usize,
    /// When what is promised is due.
    pub bounds: Bounds,
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct Report {
    /// Promises that were not kept.
    pub violations: Vec<Violation>,
    /// Requests, and how many of them were answered.
    pub request_counts: (usize, usize),
    /// Requests that ran again.
    pub retries: u32,
    /// How often each promise that depends on time was due.
    pub check_counts: BTreeMap<Guarantee, u32>,
    /// When the run's own thread was latest, and by how much: it answers nobody meanwhile.
    pub max_lateness: (Duration, Duration),
}

impl Display for Report {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let (sent, answered) = self.request_counts;
        write!(formatter, "{answered} of {sent} requests answered, {} ran again", self.retries)?;
        for (guarantee, times) in &self.check_counts {
            write!(formatter, ", {guarantee:?} due {times}")?;
        }
        let (at, by) = self.max_lateness;
        write!(formatter, ", own thread late by {by:.1?} at {at:.1?}")?;
        for violation in &self.violations {
            write!(formatter, "\n  violation: {violation}")?;
        }
        Ok(())
    }
}

/// Runs these troubles.
///
/// # Errors
///
/// The folder cannot be written, or the program cannot be started.
pub fn run(config: &Config, seed: u64, faults: &[Fault]) -> Result<Report> {
    fs::create_dir_all(&config.folder)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_faults(config, seed, faults))
}

async fn run_faults(config: &Config, seed: u64, faults: &[Fault]) -> Result<Report> {
    let ledger = Rc::new(Ledger::new(config.bounds));
    let backends = Backends::start(config.servers, ledger.clone()).await;
    let (program, folder) = (&config.program, &config.folder);
    let fleet = Fleet::start(config.gateways, program, folder, &backends, ledger.clone()).await?;
    let context = Rc::new(RunContext::new(fleet.clone(), backends.clone(), ledger.clone()));
    wait_until_ready(&context).await;
    for number in 0..config.callers {
        let caller = Caller::new(context.clone(), seed.wrapping_mul(1_000) + number as u64);
        task::spawn_local(caller.run());
    }
    for gateway in &fleet.gateways {
        task::spawn_local(probe_configuration(context.clone(), gateway.clone()));
    }
    let start = Instant::now();
    let late = Rc::new(Cell::new((Duration::ZERO, Duration::ZERO)));
    task::spawn_local(track_lateness(start, late.clone()));
    task::spawn_local(inject_faults(context.clone(), start, faults.to_vec()));
    let mut next_configuration = start + CONFIGURATION_INTERVAL;
    while start.elapsed() < config.length {
        time::sleep(POLL_INTERVAL).await;
        if next_configuration <= Instant::now() && backends.configure() {
            next_configuration += CONFIGURATION_INTERVAL;
        }
        ledger.poll();
        fleet.restart_exited();
        backends.poll();
    }
    wait_until_ready(&context).await;
    context.running.set(false);
    ledger.poll();
    ledger.check_retries();
    fleet.kill_all();
    let retries = ledger.retries.get();
    Ok(Report {
        violations: ledger.violations(),
        request_counts: ledger.request_counts(),
        retries,
        check_counts: ledger.check_counts(),
        max_lateness: late.get(),
    })
}

/// Keeps when the run's own thread was latest.
async fn track_lateness(start: Instant, latest: Rc<Cell<(Duration, Duration)>>) {
    loop {
        let due = Instant::now() + LATENESS_INTERVAL;
        time::sleep_until(due).await;
        let late = due.elapsed();
        if late > latest.get().1 {
            latest.set((start.elapsed(), late));
        }
    }
}

/// Begins each trouble at its time; they overlap.
async fn inject_faults(context: Rc<RunContext>, start: Instant, faults: Vec<Fault>) {
    for fault in faults {
        time::sleep_until(start + fault.at).await;
        let now = Instant::now();
        context.ledger.record_fault(fault.kind, now, now + effect_duration(&fault));
        let (fleet, backends) = (context.fleet.clone(), context.backends.clone());
        if fault.kind == FaultKind::CrashingRequest {
            task::spawn_local(send_crashing_requests(context.clone(), fault));
            continue;
        }
        task::spawn_local(async move {
            let Fault { kind, target, duration, .. } = fault;
            fleet.inject(kind, target, duration).await;
            backends.inject(kind, target, duration).await;
        });
    }
}

/// How long a trouble goes on.
fn effect_duration(fault: &Fault) -> Duration {
    match fault.kind {
        // Until the row has gone and another server has come.
        FaultKind::ServerCrash => fault.duration + Duration::from_secs(2),
        // Until the servers that crashed last have been replaced.
        FaultKind::CrashingRequest => fault.duration + Duration::from_secs(4),
        // The others get over it.
        FaultKind::Off => Duration::ZERO,
        // As long as a stop may take.
        FaultKind::Stop => Duration::from_secs(9),
        _ => fault.duration,
    }
}

/// Waits until every gateway serves.
async fn wait_until_ready(context: &RunContext) {
    let client = Client::new();
    let end = Instant::now() + context.ledger.bounds.recovery;
    for gateway in &context.fleet.gateways {
        while !caller::is_ready(&client, gateway.at.readiness).await {
            context.fleet.restart_exited();
            if Instant::now() > end {
                let detail = format!("{} is not ready", gateway.name);
                context.ledger.report(Guarantee::Recovery, detail);
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
    context.ledger.record_check(Guarantee::Recovery);
}
