//! A gateway process: listeners, signals, settings and planned stop.
//! Input are the settings file, SIGTERM and SIGHUP; it keeps the gateway and its addresses.
//! It decides when settings are read again, and when a process that stops ends.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use eyre::Result;
use eyre::WrapErr;
use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::budget;
use hooktrestle_core::direct::follow_calls;
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_core::direct::planned_stop;
use hooktrestle_core::direct::planned_stop::PlannedStop;
use hooktrestle_schema::DirectSettings;
use hooktrestle_schema::IncompleteReason;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::time;

use crate::arrivals;
use crate::callers;
use crate::crash_sync;
use crate::delays::Wait;
use crate::endpoints;
use crate::endpoints::QueryKind;
use crate::gateway::Gateway;
use crate::incomplete;
use crate::maps;
use crate::members_table;
use crate::peers;
use crate::peers::Peers;
use crate::permits;
use crate::platform::Platform;
use crate::platform::Table;
use crate::room;
use crate::settings;
use crate::sidecar;
use crate::signals::Signals;
use crate::stalled_groups;
use crate::table_sync;

/// Connections that wait to be accepted, so that the kernel does not refuse callers in a burst.
const BACKLOG: u32 = 1_024;

/// Memory that is assumed if the settings name none: half of what small instances have.
pub const DEFAULT_MEMORY_BYTES: u64 = 128 << 20;

/// Interval between two checks of the settings file and of idle connections.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two checks of the remaining requests while the process stops.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait until others were notified of a stop: the store may not answer, while requests in
/// flight have to be finished.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// A gateway whose tasks are running.
pub struct Started<P> {
    /// State that its tasks share.
    pub gateway: Rc<Gateway<P>>,
    /// Address for requests of callers.
    pub callers_at: SocketAddr,
    /// Address at which callers request the list of gateways.
    pub endpoints_at: SocketAddr,
    /// Address for readiness checks.
    pub readiness_at: SocketAddr,
    /// Address for other gateways.
    pub peers_at: SocketAddr,
    peers: Rc<Peers>,
}

/// Runs a gateway until the process receives SIGTERM.
///
/// # Errors
///
/// An address cannot be listened on.
pub async fn run<P: Platform>(
    settings: &DirectSettings,
    file: PathBuf,
    platform: P,
    signals: Signals,
) -> Result<()> {
    let started = start(settings, platform)?;
    run_housekeeping(&started, file, signals).await;
    stop(&started, Millis(settings.instance.stop_within_s * 1_000)).await;
    Ok(())
}

/// Starts the tasks of a gateway on the current local set.
///
/// # Errors
///
/// An address cannot be listened on.
pub fn start<P: Platform>(settings: &DirectSettings, platform: P) -> Result<Started<P>> {
    start_with_clock(ProcessClock::default(), settings, platform)
}

/// [`start`] with a given clock.
///
/// # Errors
///
/// As [`start`].
pub fn start_with_clock<P: Platform>(
    clock: ProcessClock,
    settings: &DirectSettings,
    platform: P,
) -> Result<Started<P>> {
    let listen = &settings.listen;
    let callers_listener = bind(&listen.callers)?;
    let peers_listener = bind(&listen.peers)?;
    let endpoints_listener = bind(&listen.endpoints)?;
    let readiness_listener = bind(&listen.readiness)?;
    let started = Started {
        callers_at: callers_listener.local_addr()?,
        endpoints_at: endpoints_listener.local_addr()?,
        readiness_at: readiness_listener.local_addr()?,
        peers_at: peers_listener.local_addr()?,
        peers: Rc::new(Peers::default()),
        gateway: Rc::new(Gateway::new(
            platform,
            follow_calls(settings),
            own_member(settings, callers_listener.local_addr()?, peers_listener.local_addr()?),
            budget_config(settings),
            listen.sidecars_port,
            clock,
        )),
    };
    started.peers.set_seeds(settings::addresses(&settings.platform.seeds));
    let gateway = &started.gateway;
    if !listen.relay.is_empty() {
        tokio::task::spawn_local(sidecar::relay(gateway.clone(), bind(&listen.relay)?));
    }
    if !listen.metrics.is_empty() {
        let listener = bind(&listen.metrics)?;
        tokio::task::spawn_local(endpoints::serve(gateway.clone(), listener, QueryKind::Metrics));
    }
    let kinds =
        [(endpoints_listener, QueryKind::Endpoints), (readiness_listener, QueryKind::Readiness)];
    for (listener, kind) in kinds {
        tokio::task::spawn_local(endpoints::serve(gateway.clone(), listener, kind));
    }
    tokio::task::spawn_local(callers::serve(gateway.clone(), callers_listener));
    tokio::task::spawn_local(peers::serve(gateway.clone(), peers_listener));
    spawn_background_tasks(&started);
    gateway.event_log.state(format_args!(
        "{} started, memory of the instance {} MB",
        settings.instance.name,
        gateway.with_members(|members| members.own().memory_bytes) >> 20
    ));
    Ok(started)
}

/// Starts the background tasks that keep the gateway's state up to date.
fn spawn_background_tasks<P: Platform>(started: &Started<P>) {
    let gateway = &started.gateway;
    for table in [Table::Configuration, Table::Servers] {
        tokio::task::spawn_local(table_sync::follow(gateway.clone(), table));
    }
    tokio::task::spawn_local(table_sync::watch_unconfirmed_rows(gateway.clone()));
    tokio::task::spawn_local(members_table::keep(gateway.clone()));
    tokio::task::spawn_local(crash_sync::sync_crashes(gateway.clone()));
    tokio::task::spawn_local(maps::run(gateway.clone()));
    tokio::task::spawn_local(stalled_groups::watch(gateway.clone()));
    tokio::task::spawn_local(permits::run(gateway.clone()));
    tokio::task::spawn_local(room::run(gateway.clone()));
    let (peers, exchanger) = (started.peers.clone(), gateway.clone());
    tokio::task::spawn_local(async move { peers.run(exchanger).await });
}

/// Checks settings and idle connections until the process receives SIGTERM.
async fn run_housekeeping<P: Platform>(started: &Started<P>, file: PathBuf, signals: Signals) {
    let Signals { mut terminate, mut hang_up } = signals;
    let mut last_modified = modified(&file);
    loop {
        let mut reload_requested = false;
        let wait = Wait::begin(HOUSEKEEPING_INTERVAL);
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hang_up.recv() => reload_requested = true,
            () = time::sleep(HOUSEKEEPING_INTERVAL) => {}
        }
        if let Some(delay) = wait.end() {
            started.gateway.event_log.state(format_args!("{delay}"));
            started.gateway.metrics.record_delay(delay.lasted);
        }
        let overrun = started.gateway.metrics.record_overrun(hooktrestle_stream::failed_count());
        if overrun > 0 {
            started.gateway.event_log.state(format_args!(
                "{overrun} connections failed: their peers sent too much that is no content"
            ));
        }
        started.gateway.event_log.report_dropped();
        started.gateway.connections.sweep();
        started.gateway.sidecars.sweep();
        let now = modified(&file);
        if reload_requested || now != last_modified {
            last_modified = now;
            reload(&started.gateway, &started.peers, &file);
        }
    }
}

fn reload<P: Platform>(gateway: &Gateway<P>, peers: &Peers, file: &Path) {
    match settings::load(file) {
        Ok(settings) => {
            gateway.set_budget(budget_config(&settings));
            peers.set_seeds(settings::addresses(&settings.platform.seeds));
            gateway.event_log.state(format_args!("settings reloaded"));
        }
        Err(error) => {
            gateway.event_log.state(format_args!("settings not reloaded: {error}"));
        }
    }
}

/// Finishes the requests in flight. Callers are sent to other gateways first; the process ends once
/// no more requests arrive.
pub async fn stop<P: Platform>(started: &Started<P>, within: Millis) {
    let Started { gateway, peers, .. } = started;
    let began = gateway.now();
    let mut planned = PlannedStop::new(began, within);
    gateway.begin_stop(planned);
    let in_flight = &gateway.in_flight;
    gateway.event_log.state(format_args!("stopping, {} requests in flight", in_flight.count()));
    let row_removed = members_table::remove_own_row(gateway);
    let announced = peers.announce(gateway);
    let notified = async { tokio::join!(announced, row_removed) };
    // Gateways that are not notified detect the stop when heartbeats are missing.
    drop(time::timeout(ANNOUNCE_TIMEOUT, notified).await);
    let mut max_delay = Millis::ZERO;
    let mut check_at = gateway.now();
    loop {
        gateway.clock.sleep_until(check_at).await;
        arrivals::handle().await;
        let now = gateway.now();
        let delay = now.since(check_at);
        max_delay = max_delay.max(delay);
        planned.record_delay(delay);
        planned.record_transfers(in_flight.transfers(), now);
        let requests = planned_stop::Requests {
            in_flight: in_flight.count(),
            last_received_at: in_flight.last_received_at(),
        };
        match planned.check(requests, now) {
            planned_stop::Next::Serve => {}
            planned_stop::Next::AnswerAll => finish_answers(gateway),
            planned_stop::Next::End => break,
        }
        check_at = now + Millis::from(STOP_POLL_INTERVAL);
    }
    forward_arrived(gateway, &planned).await;
    log_stopped(gateway, began, max_delay);
}

/// Forwards what has arrived by the end of a stop, while there is time. A process that was suspended
/// until then does so once, however late that is: what the kernel has taken is delivered.
async fn forward_arrived<P: Platform>(gateway: &Gateway<P>, planned: &PlannedStop) {
    let in_flight = &gateway.in_flight;
    while in_flight.count() > 0 {
        finish_answers(gateway);
        let transfers = in_flight.transfers();
        arrivals::handle().await;
        if in_flight.transfers() == transfers || !planned.may_forward(gateway.now()) {
            return;
        }
    }
}

/// Answers all requests that wait, and gives the kernel what callers have not read of their answers.
fn finish_answers<P: Platform>(gateway: &Gateway<P>) {
    gateway.answer_all_waiting();
    if let Err(error) = gateway.hand_over.begin() {
        gateway.event_log.state(format_args!("send buffers are not enlarged: {error}"));
    }
}

/// Logs the end of a planned stop, with the requests that it cuts off, if any.
fn log_stopped<P: Platform>(gateway: &Gateway<P>, began: Millis, max_delay: Millis) {
    let in_flight = &gateway.in_flight;
    gateway.event_log.state(format_args!(
        "stopped after {} ms, {} requests in flight, {} attempts at servers, {} bytes of answers not \
         read, checks up to {} ms late",
        gateway.now().since(began).0,
        in_flight.count(),
        in_flight.attempts(),
        gateway.readers.held_bytes(),
        max_delay.0
    ));
    if let Some(cut_off) = in_flight.cut_off(began, gateway.now()) {
        gateway.event_log.state(format_args!("{cut_off}"));
    }
    for request in in_flight.by_stage() {
        incomplete::record(gateway, &request, IncompleteReason::ProcessEnded);
    }
    gateway.event_log.report_dropped();
}

fn modified(file: &Path) -> Option<SystemTime> {
    fs::metadata(file).and_then(|metadata| metadata.modified()).ok()
}

fn budget_config(settings: &DirectSettings) -> budget::Config {
    let repeats = &settings.repeats;
    budget::Config {
        ratio: repeats.ratio_part,
        slack: repeats.slack_requests,
        window: Millis((repeats.window_s * 1_000.0) as u64),
    }
}

/// A call that waits for changes is overdue after half the time-out of other calls, since changes are
/// delayed for as long.
fn follow_calls(settings: &DirectSettings) -> follow_calls::Config {
    follow_calls::Config {
        current_within: Millis(settings.platform.current_within_ms),
        overdue_after: Millis(settings.platform.timeout_ms / 2),
    }
}

fn own_member(settings: &DirectSettings, callers_at: SocketAddr, peers_at: SocketAddr) -> Member {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Member {
        name: settings.instance.name.clone(),
        // Only has to increase from one process to the next. If the time of day was set back, peers
        // report the earlier process and this one chooses a higher number.
        incarnation: since_epoch.map_or(0, |since| since.as_millis() as u64),
        heartbeat: 0,
        callers_at,
        peers_at,
        data_centre: settings.instance.data_centre.clone(),
        memory_bytes: memory_bytes(settings),
        readiness: Readiness::Starting,
        store_answers: false,
        leader_fencing_token: 0,
    }
}

/// Memory of this instance: that of its settings, or else [`DEFAULT_MEMORY_BYTES`]. What the kernel
/// reports may be the memory of the host, of which the instance has a part; it only lowers the default.
pub fn memory_bytes(settings: &DirectSettings) -> u64 {
    if settings.instance.memory_mb > 0 {
        return settings.instance.memory_mb << 20;
    }
    let info = rustix::system::sysinfo();
    let reported_bytes = (info.totalram as u64).saturating_mul(u64::from(info.mem_unit));
    reported_bytes.min(DEFAULT_MEMORY_BYTES)
}

fn bind(address: &str) -> Result<TcpListener> {
    let parsed: SocketAddr = address.parse()?;
    listen(parsed).wrap_err_with(|| format!("cannot listen on {address}"))
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
