//! The life of a gateway process: listeners, signals, changed settings, a planned stop.

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
use hooktrestle_core::direct::members::Member;
use hooktrestle_core::direct::members::Readiness;
use hooktrestle_schema::DirectSettings;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time;

use crate::callers;
use crate::crash_sync;
use crate::endpoints;
use crate::endpoints::Question;
use crate::gateway::Gateway;
use crate::maps;
use crate::peers;
use crate::peers::Peers;
use crate::permits;
use crate::platform::Platform;
use crate::platform::Table;
use crate::settings;
use crate::sidecar;
use crate::standing;
use crate::table_sync;

/// Connections that wait to be accepted: a flood of callers is not turned away by the kernel.
const BACKLOG: u32 = 1_024;

/// Time between two looks at the settings file, and at idle connections.
const HOUSEKEEPING: Duration = Duration::from_secs(1);

/// Time between two looks at what is left while the process stops.
const STOP_TICK: Duration = Duration::from_millis(50);

/// Shortest planned stop: some callers keep an answer three times as long as they may, and the
/// platform asks each second whether this one is ready.
const LEAST_STOP: Millis = Millis(3_300);

/// Time without a new request after which a process that stops is not needed any more.
const QUIET: Millis = Millis(1_000);

/// Longest time in which others are told of a stop: the store may not answer, and callers are due
/// their answers meanwhile.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);

/// How much before the longest stop the process ends by itself.
const STOP_MARGIN: Millis = Millis(500);

/// A gateway whose tasks run.
pub struct Started<P> {
    /// What its tasks share.
    pub gateway: Rc<Gateway<P>>,
    /// Where callers connect.
    pub callers_at: SocketAddr,
    /// Where callers ask which gateways to use.
    pub endpoints_at: SocketAddr,
    /// Where it is asked whether it is ready.
    pub readiness_at: SocketAddr,
    /// Where other gateways connect.
    pub peers_at: SocketAddr,
    peers: Rc<Peers>,
}

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// An address cannot be listened on.
pub async fn run<P: Platform>(settings: &DirectSettings, file: PathBuf, platform: P) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let started = start(settings, platform)?;
    keep_house(&started, file, &mut hang_up, &mut terminate).await;
    stop(&started, Millis(settings.instance.stop_within_s * 1_000)).await;
    Ok(())
}

/// Starts a gateway's tasks on the present local set.
///
/// # Errors
///
/// An address cannot be listened on.
pub fn start<P: Platform>(settings: &DirectSettings, platform: P) -> Result<Started<P>> {
    start_by(ProcessClock::default(), settings, platform)
}

/// The same by a clock of the caller's.
///
/// # Errors
///
/// As [`start`].
pub fn start_by<P: Platform>(
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
        tokio::task::spawn_local(endpoints::serve(gateway.clone(), listener, Question::Metrics));
    }
    let questions =
        [(endpoints_listener, Question::Endpoints), (readiness_listener, Question::Readiness)];
    for (listener, question) in questions {
        tokio::task::spawn_local(endpoints::serve(gateway.clone(), listener, question));
    }
    tokio::task::spawn_local(callers::serve(gateway.clone(), callers_listener));
    tokio::task::spawn_local(peers::serve(gateway.clone(), peers_listener));
    spawn_upkeep(&started);
    gateway.journal.state(format_args!("{} started", settings.instance.name));
    Ok(started)
}

/// Starts what keeps the gateway's knowledge up to date.
fn spawn_upkeep<P: Platform>(started: &Started<P>) {
    let gateway = &started.gateway;
    for table in [Table::Configuration, Table::Servers] {
        tokio::task::spawn_local(table_sync::follow(gateway.clone(), table));
    }
    tokio::task::spawn_local(table_sync::watch_unconfirmed_rows(gateway.clone()));
    tokio::task::spawn_local(table_sync::maintain_membership_row(gateway.clone()));
    tokio::task::spawn_local(crash_sync::sync_crashes(gateway.clone()));
    tokio::task::spawn_local(maps::run(gateway.clone()));
    tokio::task::spawn_local(standing::watch(gateway.clone()));
    tokio::task::spawn_local(permits::run(gateway.clone()));
    let (peers, exchanger) = (started.peers.clone(), gateway.clone());
    tokio::task::spawn_local(async move { peers.run(exchanger).await });
}

/// Looks after settings and idle connections until the process is told to stop.
async fn keep_house<P: Platform>(
    started: &Started<P>,
    file: PathBuf,
    hang_up: &mut Signal,
    terminate: &mut Signal,
) {
    let mut seen = modified(&file);
    loop {
        let mut told = false;
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hang_up.recv() => told = true,
            () = time::sleep(HOUSEKEEPING) => {}
        }
        started.gateway.connections.sweep();
        started.gateway.sidecars.sweep();
        let now = modified(&file);
        if told || now != seen {
            seen = now;
            reload(&started.gateway, &started.peers, &file);
        }
    }
}

fn reload<P: Platform>(gateway: &Gateway<P>, peers: &Peers, file: &Path) {
    match settings::load(file) {
        Ok(settings) => {
            gateway.set_budget(budget_config(&settings));
            peers.set_seeds(settings::addresses(&settings.platform.seeds));
            gateway.journal.state(format_args!("settings read again"));
        }
        Err(error) => {
            gateway.journal.state(format_args!("settings stay as they were: {error}"));
        }
    }
}

/// Finishes what is in flight: callers are sent elsewhere first, then the process ends once
/// nothing comes any more.
pub async fn stop<P: Platform>(started: &Started<P>, within: Millis) {
    let Started { gateway, peers, .. } = started;
    let began = gateway.now();
    gateway.begin_stop(within);
    gateway.journal.state(format_args!("stopping, {} in flight", gateway.in_flight()));
    let name = gateway.with_members(|members| members.own().name.clone());
    let unlisted = gateway.platform.write_member(&name, None);
    let announced = peers.announce(gateway);
    let told = async { tokio::join!(announced, unlisted) };
    // Who is not told now finds out when heartbeats stop.
    drop(time::timeout(TELL_TIMEOUT, told).await);
    loop {
        let now = gateway.now();
        let spent = now.since(began);
        let quiet = gateway.in_flight() == 0 && now.since(gateway.last_request()) >= QUIET;
        if (quiet && spent >= LEAST_STOP) || spent + STOP_MARGIN >= within {
            break;
        }
        time::sleep(STOP_TICK).await;
    }
    gateway.journal.state(format_args!("stopped, {} in flight", gateway.in_flight()));
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

fn own_member(settings: &DirectSettings, callers_at: SocketAddr, peers_at: SocketAddr) -> Member {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Member {
        name: settings.instance.name.clone(),
        // Only has to rise from one process to the next; should the time of day have gone back,
        // others tell of the earlier process and it is outlived.
        incarnation: since_epoch.map_or(0, |since| since.as_millis() as u64),
        heartbeat: 0,
        callers_at,
        peers_at,
        data_centre: settings.instance.data_centre.clone(),
        memory_bytes: memory_bytes(),
        readiness: Readiness::Starting,
        store_answers: false,
        leader_fencing_token: 0,
    }
}

/// Memory of this instance.
fn memory_bytes() -> u64 {
    let told = rustix::system::sysinfo();
    (told.totalram as u64).saturating_mul(u64::from(told.mem_unit))
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
