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

use crate::callers::Caller;
use crate::callers::World;
use crate::callers::crash_servers;
use crate::callers::probe;
use crate::fleet::Fleet;
use crate::ledger::Bounds;
use crate::ledger::Broken;
use crate::ledger::Ledger;
use crate::ledger::Promise;
use crate::schedule::Kind;
use crate::schedule::Trouble;
use crate::site::Site;

/// Time between two changes of the configuration.
const CONFIGURE_EVERY: Duration = Duration::from_secs(5);

/// Time between two looks at what servers saw.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Time between two looks at whether the run's own thread, on which callers, servers and the store are, is late.
const TICK: Duration = Duration::from_millis(20);

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
    pub broken: Vec<Broken>,
    /// Requests, and how many of them were answered.
    pub served: (usize, usize),
    /// Requests that ran again.
    pub repeats: u32,
    /// How often each promise that depends on time was due.
    pub judged: BTreeMap<Promise, u32>,
    /// When the run's own thread was latest, and by how much: it answers nobody meanwhile.
    pub late: (Duration, Duration),
}

impl Display for Report {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let (sent, answered) = self.served;
        write!(formatter, "{answered} of {sent} requests answered, {} ran again", self.repeats)?;
        for (promise, times) in &self.judged {
            write!(formatter, ", {promise:?} due {times}")?;
        }
        let (at, by) = self.late;
        write!(formatter, ", own thread late by {by:.1?} at {at:.1?}")?;
        for broken in &self.broken {
            write!(formatter, "\n  broken: {broken}")?;
        }
        Ok(())
    }
}

/// Runs these troubles.
///
/// # Errors
///
/// The folder cannot be written, or the program cannot be started.
pub fn run(config: &Config, seed: u64, troubles: &[Trouble]) -> Result<Report> {
    fs::create_dir_all(&config.folder)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(config, seed, troubles))
}

async fn play(config: &Config, seed: u64, troubles: &[Trouble]) -> Result<Report> {
    let ledger = Rc::new(Ledger::new(config.bounds));
    let site = Site::start(config.servers, ledger.clone()).await;
    let (program, folder) = (&config.program, &config.folder);
    let fleet = Fleet::start(config.gateways, program, folder, &site, ledger.clone()).await?;
    let world = Rc::new(World::new(fleet.clone(), site.clone(), ledger.clone()));
    all_serve(&world).await;
    for number in 0..config.callers {
        let caller = Caller::new(world.clone(), seed.wrapping_mul(1_000) + number as u64);
        task::spawn_local(caller.run());
    }
    for gateway in &fleet.gateways {
        task::spawn_local(probe(world.clone(), gateway.clone()));
    }
    let start = Instant::now();
    let late = Rc::new(Cell::new((Duration::ZERO, Duration::ZERO)));
    task::spawn_local(note_late(start, late.clone()));
    task::spawn_local(strike(world.clone(), start, troubles.to_vec()));
    let mut next_version = start + CONFIGURE_EVERY;
    while start.elapsed() < config.length {
        time::sleep(LOOK_EVERY).await;
        if next_version <= Instant::now() && site.configure() {
            next_version += CONFIGURE_EVERY;
        }
        ledger.look();
        fleet.look();
        site.look();
    }
    all_serve(&world).await;
    world.open.set(false);
    ledger.look();
    ledger.judge_repeats();
    fleet.end();
    let repeats = ledger.repeats.get();
    Ok(Report {
        broken: ledger.findings(),
        served: ledger.served(),
        repeats,
        judged: ledger.judged(),
        late: late.get(),
    })
}

/// Keeps when the run's own thread was latest.
async fn note_late(start: Instant, latest: Rc<Cell<(Duration, Duration)>>) {
    loop {
        let due = Instant::now() + TICK;
        time::sleep_until(due).await;
        let late = due.elapsed();
        if late > latest.get().1 {
            latest.set((start.elapsed(), late));
        }
    }
}

/// Begins each trouble at its time; they overlap.
async fn strike(world: Rc<World>, start: Instant, troubles: Vec<Trouble>) {
    for trouble in troubles {
        time::sleep_until(start + trouble.at).await;
        let now = Instant::now();
        world.ledger.trouble(trouble.kind, now, now + settles(&trouble));
        let (fleet, site) = (world.fleet.clone(), world.site.clone());
        if trouble.kind == Kind::CrashingRequest {
            task::spawn_local(crash_servers(world.clone(), trouble));
            continue;
        }
        task::spawn_local(async move {
            let Trouble { kind, target, lasts, .. } = trouble;
            fleet.trouble(kind, target, lasts).await;
            site.trouble(kind, target, lasts).await;
        });
    }
}

/// How long a trouble goes on.
fn settles(trouble: &Trouble) -> Duration {
    match trouble.kind {
        // Until the row has gone and another server has come.
        Kind::ServerCrash => trouble.lasts + Duration::from_secs(2),
        // Until the servers that crashed last have been replaced.
        Kind::CrashingRequest => trouble.lasts + Duration::from_secs(4),
        // The others get over it.
        Kind::Off => Duration::ZERO,
        // As long as a stop may take.
        Kind::Stop => Duration::from_secs(9),
        _ => trouble.lasts,
    }
}

/// Waits until every gateway serves.
async fn all_serve(world: &World) {
    let client = Client::new();
    let end = Instant::now() + world.ledger.bounds.recovery;
    for gateway in &world.fleet.gateways {
        while !caller::is_ready(&client, gateway.at.readiness).await {
            world.fleet.look();
            if Instant::now() > end {
                let what = format!("{} is not ready", gateway.name);
                world.ledger.broken(Promise::Recovery, what);
                return;
            }
            time::sleep(LOOK_EVERY).await;
        }
    }
    world.ledger.judge(Promise::Recovery);
}
