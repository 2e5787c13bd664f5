//! One soak run: starts stand-ins, gateways and callers, injects faults and collects violations.
//! Input: a run configuration, a seed and its faults. State: all parts of the running system.
//! Decides when faults begin, when the configuration changes and when the run ends.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
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

use crate::attempts::Excess;
use crate::backends::Backends;
use crate::backends::endings::MAX_END_DURATION;
use crate::backends::groups::Groups;
use crate::callers::Caller;
use crate::callers::RunContext;
use crate::callers::WAVE;
use crate::callers::probe_configuration;
use crate::callers::send_crashing_requests;
use crate::callers::send_neighbours;
use crate::crash_shapes;
use crate::crash_shapes::CrashShape;
use crate::endless;
use crate::firsts_pause;
use crate::fleet::Fleet;
use crate::ledger::Bounds;
use crate::ledger::Guarantee;
use crate::ledger::Ledger;
use crate::ledger::Violation;
use crate::overload;
use crate::retries::RetryBound;
use crate::retries::RetryPeak;
use crate::schedule::Fault;
use crate::schedule::FaultKind;

/// Time between two changes of the configuration in the store.
const CONFIGURATION_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of parts that crash servers which are added at the end of a run, and for how long
/// requests with each are sent.
const MAX_FURTHER_PARTS: usize = 3;
const FURTHER_PART_DURATION: Duration = Duration::from_secs(12);

/// Time between two checks of what servers received.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two measurements of the delay of the test thread, which runs the callers, the
/// servers and the store.
const LATENESS_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway program.
    pub program: PathBuf,
    /// Folder for settings and logs of the gateways.
    pub folder: PathBuf,
    /// Duration of the traffic.
    pub length: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of callers.
    pub callers: usize,
    /// Time from the removal of the row of a server that crashed while it ran a request until another
    /// server replaces it.
    pub replacement_delay: Duration,
    /// Time bounds of the guarantees.
    pub bounds: Bounds,
    /// Bound on retries, in the settings of the gateways.
    pub retries: RetryBound,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
    /// Number of requests, and how many of them were answered.
    pub request_counts: (usize, usize),
    /// Runs of requests after their first run.
    pub retries: u32,
    /// The window in which retries came nearest to their bound.
    pub retry_peak: RetryPeak,
    /// Requests and attempts beyond the servers and the time that are allowed.
    pub excess: Excess,
    /// Connections that gateways without a fault closed although a sound server had the request.
    pub closed: usize,
    /// What became of bursts of callers.
    pub bursts: String,
    /// What streams met in stops of their gateways.
    pub streams_in_stops: String,
    /// The answers that callers lost around stops, for reasons that are no violation.
    pub lost: Vec<String>,
    /// What became of parts of prompts that crash servers.
    pub crashing_parts: String,
    /// The labels of what these reached of the shapes that are drawn.
    pub reached_shapes: BTreeSet<&'static str>,
    /// How often each time-bounded guarantee was checked.
    pub check_counts: BTreeMap<Guarantee, u32>,
    /// Time and length of the longest delay of the test thread: callers, servers and the store do
    /// not respond during it.
    pub max_lateness: (Duration, Duration),
}

impl Display for Report {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let (sent, answered) = self.request_counts;
        write!(formatter, "{answered} of {sent} requests answered, {} ran again", self.retries)?;
        let RetryPeak { retries, allowed } = self.retry_peak;
        write!(formatter, " (at most {retries} of {allowed:.0} allowed in a window)")?;
        write!(formatter, ", {}, {} connections closed early", self.excess, self.closed)?;
        formatter.write_str(&self.bursts)?;
        formatter.write_str(&self.crashing_parts)?;
        formatter.write_str(&self.streams_in_stops)?;
        for (guarantee, times) in &self.check_counts {
            write!(formatter, ", {guarantee:?} checked {times} times")?;
        }
        let (at, by) = self.max_lateness;
        write!(formatter, ", test thread late by up to {by:.1?} at {at:.1?}")?;
        for line in &self.lost {
            write!(formatter, "\n  lost: {line}")?;
        }
        for violation in &self.violations {
            write!(formatter, "\n  violation: {violation}")?;
        }
        Ok(())
    }
}

/// Runs the gateways under these faults.
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
    let has_bursts = faults.iter().any(|fault| fault.kind == FaultKind::Overload);
    let has_parts = faults.iter().any(|fault| fault.kind == FaultKind::CrashingPart);
    let (group_label, group_size) = match has_parts {
        true => crash_shapes::draw_group_size(seed, config.servers),
        false => ("", 1),
    };
    let of_groups = [FaultKind::GroupTrouble, FaultKind::GroupRelease];
    let of_ends = [FaultKind::ServerEnds, FaultKind::LockStepRelease];
    let has = |kinds: &[FaultKind]| faults.iter().any(|fault| kinds.contains(&fault.kind));
    let groups = if has(&of_groups) || has(&of_ends) {
        ledger.data_centres.borrow_mut().add_third();
        Groups::draw(seed, config.servers, has(&of_ends))
    } else {
        Groups::of(group_size)
    };
    let starting = Backends::start(config.servers, groups, has_bursts, ledger.clone());
    let backends = starting.await;
    backends.set_replacement_delay(config.replacement_delay);
    if faults.iter().any(|fault| fault.kind == FaultKind::ServerEndless) {
        backends.in_trouble.start(&backends.store).await;
        backends.configure();
    }
    let (program, folder) = (&config.program, &config.folder);
    let fleet =
        Fleet::start(config.gateways, program, folder, &backends, config.retries, ledger.clone());
    let fleet = fleet.await?;
    let context = Rc::new(RunContext::new(fleet.clone(), backends.clone(), ledger.clone()));
    wait_until_ready(&context).await;
    for number in 0..config.callers {
        let caller = Caller::new(context.clone(), seed.wrapping_mul(1_000) + number as u64);
        task::spawn_local(caller.run());
    }
    for gateway in &fleet.gateways {
        task::spawn_local(probe_configuration(context.clone(), gateway.clone()));
    }
    if has_parts {
        task::spawn_local(send_neighbours(context.clone()));
    }
    let start = Instant::now();
    let late = Rc::new(Cell::new((Duration::ZERO, Duration::ZERO)));
    task::spawn_local(track_lateness(start, late.clone()));
    task::spawn_local(inject_faults(context.clone(), start, faults.to_vec()));
    keep_running(&context, start + config.length).await;
    // With fewer servers, a part may be refused before it has crashed enough of them.
    if has_parts && config.servers >= WAVE {
        identify_part(&context, start, seed).await;
    }
    wait_until_ready(&context).await;
    context.running.set(false);
    ledger.poll();
    let retry_peak = ledger.check_retries(config.retries);
    let (streams_in_stops, lost) = ledger.check_losses();
    let (excess, closed) = (ledger.check_attempts(), ledger.check_closed_total());
    ledger.check_overload();
    let crashing_parts = ledger.check_neighbours();
    let mut reached_shapes = ledger.reached_shapes();
    if !reached_shapes.is_empty() {
        reached_shapes.insert(group_label);
    }
    let retries = ledger.retries.get();
    let report = Report {
        violations: ledger.violations(),
        request_counts: ledger.request_counts(),
        retries,
        retry_peak,
        excess,
        closed,
        bursts: ledger.overload.summary(),
        streams_in_stops,
        lost,
        crashing_parts,
        reached_shapes,
        check_counts: ledger.check_counts(),
        max_lateness: late.get(),
    };
    // Callers that still wait then see their connections end.
    fleet.kill_all().await;
    Ok(report)
}

/// Writes configurations, checks what servers received and replaces what has ended, until `end`.
async fn keep_running(context: &RunContext, end: Instant) {
    let RunContext { backends, ledger, fleet, .. } = context;
    let mut next_configuration = Instant::now() + CONFIGURATION_INTERVAL;
    while Instant::now() < end {
        time::sleep(POLL_INTERVAL).await;
        if next_configuration <= Instant::now() && backends.configure() {
            next_configuration += CONFIGURATION_INTERVAL;
        }
        ledger.poll();
        fleet.restart_exited();
        backends.poll();
    }
}

/// Sends requests with further parts that crash servers until one has crashed enough of them to be
/// identified: else the run would not show whether it is refused.
async fn identify_part(context: &Rc<RunContext>, start: Instant, seed: u64) {
    let ledger = &context.ledger;
    // The requests of even targets begin with several at once. These identify a part that crashes servers
    // in all attempts.
    let targets = (seed as usize % 1_000..).map(|number| 2 * number);
    let targets = targets.filter(|target| CrashShape::draw(*target as u64).always_crashes());
    for target in targets.take(MAX_FURTHER_PARTS) {
        if ledger.has_identified_part() {
            return;
        }
        let (at, kind) = (start.elapsed(), FaultKind::CrashingPart);
        let fault = Fault { at, duration: FURTHER_PART_DURATION, kind, target };
        let now = Instant::now();
        ledger.record_fault(kind, now, now + effect_duration(&fault));
        let end = now + FURTHER_PART_DURATION;
        tokio::join!(send_crashing_requests(context.clone(), fault), keep_running(context, end));
    }
    if !ledger.has_identified_part() {
        let detail = "no part crashed enough servers to be identified".to_owned();
        ledger.report(Guarantee::Crashing, detail);
    }
}

/// Records the longest delay of the test thread.
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

/// Starts each fault at its time, without waiting for the end of earlier ones.
async fn inject_faults(context: Rc<RunContext>, start: Instant, faults: Vec<Fault>) {
    for fault in faults {
        time::sleep_until(start + fault.at).await;
        let now = Instant::now();
        context.ledger.record_fault(fault.kind, now, now + effect_duration(&fault));
        let (fleet, backends) = (context.fleet.clone(), context.backends.clone());
        if fault.kind == FaultKind::FirstsPause {
            let silence = firsts_pause::silence(fault.target);
            context.ledger.record_fault(FaultKind::StoreSilent, now, now + silence);
        }
        if fault.kind == FaultKind::Overload {
            for number in 0..overload::BURST_CALLERS {
                task::spawn_local(overload::send_streams(context.clone(), fault, number));
            }
        }
        if fault.kind.is_endless() {
            let context = context.clone();
            task::spawn_local(async move { endless::inject(&context, fault).await });
            continue;
        }
        if matches!(fault.kind, FaultKind::CrashingRequest | FaultKind::CrashingPart) {
            task::spawn_local(send_crashing_requests(context.clone(), fault));
            continue;
        }
        task::spawn_local(async move {
            let Fault { kind, target, duration, .. } = fault;
            let of_gateways = fleet.inject(kind, target, duration);
            tokio::join!(of_gateways, backends.inject(kind, target, duration));
        });
    }
}

/// Time for which a fault counts as active in the ledger.
fn effect_duration(fault: &Fault) -> Duration {
    match fault.kind {
        // Until the row is removed and another server is registered.
        FaultKind::ServerCrash | FaultKind::ServerReturnsCold => {
            fault.duration + Duration::from_secs(2)
        }
        // Until the gateways that were killed last have started.
        FaultKind::RestartSeries | FaultKind::KillSeries => fault.duration + Duration::from_secs(2),
        // Until the servers that crashed last are replaced.
        FaultKind::CrashingRequest | FaultKind::CrashingPart => {
            fault.duration + Duration::from_secs(4)
        }
        // Until the servers that cut off answers accept requests again, or one that crashed is replaced.
        FaultKind::GroupTrouble => 2 * fault.duration + Duration::from_secs(3),
        // The other gateways recover while it is off, so that only its start counts.
        FaultKind::Off => Duration::ZERO,
        // The maximum duration of a stop.
        FaultKind::Stop => Duration::from_secs(9),
        FaultKind::PlannedSeries | FaultKind::StopAgain => fault.duration + Duration::from_secs(9),
        FaultKind::ServerEnds => MAX_END_DURATION,
        // Until the group of the server that left last is whole again.
        FaultKind::LockStepRelease => fault.duration + Duration::from_secs(5),
        FaultKind::FirstsPause => {
            let silence = firsts_pause::silence(fault.target);
            silence + firsts_pause::delay(fault.target) + fault.duration
        }
        _ => fault.duration,
    }
}

/// Waits until every gateway reports that it is ready.
async fn wait_until_ready(context: &RunContext) {
    let client = Client::new();
    let end = Instant::now() + context.ledger.bounds.recovery;
    for gateway in &context.fleet.gateways {
        while !caller::is_ready(&client, gateway.at.readiness).await {
            context.fleet.restart_exited();
            if Instant::now() > end {
                let detail = format!("{} did not become ready in time", gateway.name);
                context.ledger.report(Guarantee::Recovery, detail);
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
    context.ledger.record_check(Guarantee::Recovery);
}
