//! The gateways: real processes, started, signalled and ended by their own ids.

use std::cell::Cell;
use std::cell::RefCell;
use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use eyre::Result;
use eyre::WrapErr;
use eyre::ensure;
use hooktrestle_users_standin::proxy::Proxy;
use hooktrestle_users_standin::store::Mode;
use hooktrestle_users_standin::store::Store;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::process::Child;
use tokio::process::Command;
use tokio::time;
use tokio::time::Instant;

use crate::ledger::Ledger;
use crate::ledger::Promise;
use crate::ledger::REPEATS;
use crate::ledger::RepeatBound;
use crate::schedule::Kind;
use crate::site::Site;
use crate::ways;

/// Longest planned stop, as the gateways are told.
const STOP_WITHIN_S: u64 = 8;

/// Time between two looks at whether a process has ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Time in which a process that has started or woken hears what there is.
const WAKES: Duration = Duration::from_secs(4);

/// The gateway's program.
const PROGRAM: &str = "hooktrestle-gateway";

/// First port of the first gateway; each has four.
const FIRST_PORT: u16 = 4_000;

/// Second byte of the addresses, above those that are used by hand, and what is kept of a process's id.
const OWN_NETWORK: u8 = 0x40;
const OWN_MASK: u8 = 0x3f;

/// Where a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For who asks which gateways to use.
    pub endpoints: SocketAddr,
    /// For who asks whether it is ready.
    pub readiness: SocketAddr,
    /// For other gateways.
    pub peers: SocketAddr,
}

/// One gateway: its addresses stay, its processes come and go.
pub struct Gateway {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub at: Addresses,
    store: Store,
    way: Proxy,
    settings: PathBuf,
    child: RefCell<Option<Child>>,
    /// How many processes it has had.
    pub lives: Cell<u32>,
    /// Since when it is off, if it is.
    pub off_since: Cell<Option<Instant>>,
    /// When its process started or woke last.
    woke_at: Cell<Instant>,
    /// How many troubles have it in hand: it is started again by the last that ends.
    held: Cell<u32>,
}

impl Gateway {
    /// Whether its process runs and has had time to hear what there is.
    pub fn is_awake(&self) -> bool {
        let held = self.held.get() > 0 || self.off_since.get().is_some();
        !held && self.woke_at.get().elapsed() > WAKES
    }

    /// The id of its process, if one runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.borrow().as_ref().and_then(Child::id)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.process_id().and_then(|id| Pid::from_raw(id.cast_signed())) {
            // It may have ended by itself, and is found to have then.
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether its process has ended, and how.
    fn ended(&self) -> Option<bool> {
        let mut child = self.child.borrow_mut();
        let status = child.as_mut()?.try_wait().ok()??;
        Some(status.success())
    }

    fn note_off(&self) {
        self.child.replace(None);
        self.off_since.set(Some(Instant::now()));
    }
}

/// All gateways.
pub struct Fleet {
    /// The gateways, in the order of their names.
    pub gateways: Vec<Rc<Gateway>>,
    program: PathBuf,
    ledger: Rc<Ledger>,
}

/// The gateway's program: the one that was named, or the one beside the program that asks.
///
/// # Errors
///
/// There is none.
pub fn program(named: Option<PathBuf>) -> Result<PathBuf> {
    let beside = std::env::current_exe()?.with_file_name(PROGRAM);
    let program = named.unwrap_or(beside);
    ensure!(
        program.exists(),
        "{} is missing: build it, or name it by --program",
        program.display()
    );
    Ok(program)
}

impl Fleet {
    /// Starts so many gateways of a program; their settings and logs go into a folder.
    ///
    /// # Errors
    ///
    /// The folder cannot be written, or the program cannot be started.
    pub async fn start(
        count: usize,
        program: &Path,
        folder: &Path,
        site: &Site,
        ledger: Rc<Ledger>,
    ) -> Result<Rc<Fleet>> {
        let addresses: Vec<Addresses> = (0..count).map(addresses).collect();
        let seeds: Vec<String> = addresses.iter().take(2).map(|at| at.peers.to_string()).collect();
        let mut gateways = Vec::new();
        for (index, at) in addresses.into_iter().enumerate() {
            let name = format!("g{index}");
            let store = site.door().await;
            let way = Proxy::open(store.address).await;
            let settings = folder.join(format!("{name}.ini"));
            fs::write(&settings, settings_text(&name, &at, way.address, &seeds.join(",")))?;
            gateways.push(Rc::new(Gateway {
                name,
                at,
                store,
                way,
                settings,
                child: RefCell::new(None),
                lives: Cell::new(0),
                off_since: Cell::new(Some(Instant::now())),
                woke_at: Cell::new(Instant::now()),
                held: Cell::new(0),
            }));
        }
        let fleet = Rc::new(Fleet { gateways, program: program.to_owned(), ledger });
        for gateway in &fleet.gateways {
            fleet.begin(gateway)?;
        }
        Ok(fleet)
    }

    fn begin(&self, gateway: &Gateway) -> Result<()> {
        let log = gateway.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&gateway.settings).kill_on_drop(true);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let started = command.spawn();
        let child = started.wrap_err_with(|| format!("cannot start {}", self.program.display()))?;
        gateway.child.replace(Some(child));
        gateway.lives.set(gateway.lives.get() + 1);
        gateway.off_since.set(None);
        gateway.woke_at.set(Instant::now());
        Ok(())
    }

    /// A trouble of a gateway, until it is over.
    pub async fn trouble(&self, kind: Kind, target: usize, lasts: Duration) {
        let gateway = self.gateways[target % self.gateways.len()].clone();
        match kind {
            Kind::Kill => self.kill(&[gateway], lasts).await,
            Kind::Off if self.others_awake(&gateway) > 1 => self.kill(&[gateway], lasts).await,
            Kind::KillAll => self.kill(&self.gateways, lasts).await,
            Kind::Pause => self.pause(&gateway, lasts).await,
            Kind::Stop => self.stop(&gateway).await,
            Kind::HangUp => gateway.signal(Signal::HUP),
            Kind::StoreMute
            | Kind::StoreReset
            | Kind::StoreSlow
            | Kind::StoreHoldsRequests
            | Kind::StoreHoldsAnswers => ways::trouble(&gateway.way, kind, lasts).await,
            Kind::StoreTurnsAway => {
                gateway.store.set_mode(Mode::Busy);
                time::sleep(lasts).await;
                gateway.store.set_mode(Mode::Normal);
            }
            _ => {}
        }
    }

    async fn kill(&self, gateways: &[Rc<Gateway>], lasts: Duration) {
        for gateway in gateways {
            gateway.held.set(gateway.held.get() + 1);
            gateway.signal(Signal::KILL);
        }
        for gateway in gateways {
            while gateway.child.borrow().is_some() && gateway.ended().is_none() {
                time::sleep(LOOK_EVERY).await;
            }
            if gateway.child.borrow().is_some() {
                gateway.note_off();
            }
        }
        time::sleep(lasts).await;
        gateways.iter().for_each(|gateway| self.release(gateway));
    }

    async fn pause(&self, gateway: &Gateway, lasts: Duration) {
        gateway.held.set(gateway.held.get() + 1);
        gateway.signal(Signal::STOP);
        time::sleep(lasts).await;
        gateway.signal(Signal::CONT);
        gateway.woke_at.set(Instant::now());
        self.release(gateway);
    }

    fn others_awake(&self, gateway: &Gateway) -> usize {
        let others = self.gateways.iter().filter(|other| other.name != gateway.name);
        others.filter(|other| other.is_awake()).count()
    }

    async fn stop(&self, gateway: &Gateway) {
        // Planned work leaves callers somebody else to go to.
        let has_others = self.others_awake(gateway) > 0;
        if gateway.held.get() > 0 || gateway.child.borrow().is_none() || !has_others {
            return;
        }
        gateway.held.set(1);
        gateway.signal(Signal::TERM);
        // Time in which something else held it is not its own.
        let (mut own, mut looked_at) = (Duration::ZERO, Instant::now());
        loop {
            time::sleep(LOOK_EVERY).await;
            let alone = gateway.held.get() == 1;
            own += if alone { looked_at.elapsed() } else { Duration::ZERO };
            looked_at = Instant::now();
            match gateway.ended() {
                Some(well) => {
                    if alone && !well {
                        let what = format!("{} ended badly when told to stop", gateway.name);
                        self.ledger.broken(Promise::Stop, what);
                    }
                    gateway.note_off();
                    break;
                }
                // Something else has ended it, or holds it.
                None if gateway.child.borrow().is_none() => break,
                None if alone && own > self.ledger.bounds.stop => {
                    let what = format!("{} does not end", gateway.name);
                    self.ledger.broken(Promise::Stop, what);
                    break;
                }
                None => {}
            }
        }
        self.ledger.judge(Promise::Stop);
        self.release(gateway);
    }

    /// The end of a trouble: whoever is off and in nobody's hand starts again.
    fn release(&self, gateway: &Gateway) {
        gateway.held.set(gateway.held.get().saturating_sub(1));
        if gateway.held.get() == 0
            && gateway.child.borrow().is_none()
            && let Err(error) = self.begin(gateway)
        {
            self.ledger.broken(Promise::Recovery, error.to_string());
        }
    }

    /// Starts processes again that have ended by themselves, and says so.
    pub fn look(&self) {
        for gateway in &self.gateways {
            if gateway.held.get() == 0 && gateway.ended().is_some() {
                let what =
                    format!("{} ended by itself, life {}", gateway.name, gateway.lives.get());
                self.ledger.broken(Promise::Recovery, what);
                gateway.note_off();
                gateway.held.set(1);
                self.release(gateway);
            }
        }
    }

    /// Ends all processes.
    pub fn end(&self) {
        self.gateways.iter().for_each(|gateway| drop(gateway.child.replace(None)));
    }
}

fn settings_text(name: &str, at: &Addresses, store: SocketAddr, seeds: &str) -> String {
    let RepeatBound { ratio, slack, window } = REPEATS;
    let Addresses { callers, endpoints, readiness, peers } = at;
    format!(
        "[instance]\nname = {name}\ndata_centre = hall\nstop_within_s = {STOP_WITHIN_S}\n\
         [listen]\ncallers = {callers}\nreadiness = {readiness}\nendpoints = {endpoints}\n\
         peers = {peers}\n[platform]\nstore = {store}\nseeds = {seeds}\n\
         [repeats]\nratio_part = {ratio}\nslack_requests = {slack}\nwindow_s = {}\n",
        window.as_secs()
    )
}

/// Where a gateway with a number listens: at an address of the loopback network that belongs to this
/// process alone. Ports that were free a moment ago may be taken by a connection while a gateway is off.
pub fn addresses(number: usize) -> Addresses {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, OWN_NETWORK | (high & OWN_MASK), middle, low);
    let first = FIRST_PORT + 4 * number as u16;
    let at = |offset| SocketAddr::from((ip, first + offset));
    Addresses { callers: at(0), endpoints: at(1), readiness: at(2), peers: at(3) }
}
