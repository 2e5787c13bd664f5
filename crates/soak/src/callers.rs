//! Callers: they ask which gateways to use, keep connections, wait, leave, and ask again at once.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use hooktrestle_users_standin::caller;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use tokio::time;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::Gateway;
use crate::ledger::Ledger;
use crate::ledger::Promise;
use crate::ledger::Through;
use crate::ledger::Verdict;
use crate::schedule::Trouble;
use crate::site::Site;
use crate::site::route_of;

/// How long callers wait for an answer.
const DEADLINE_MS: u64 = 3_000;

/// How long a caller keeps an answer on which gateways to use.
const KEEP_MS: std::ops::Range<u64> = 1_000..3_000;

/// Pause between two requests of one caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// Pause between two times that a request which crashes servers comes.
const CRASH_PAUSE_MS: std::ops::Range<u64> = 50..500;

/// The cause by which a gateway refuses a request that crashes servers.
const CRASHES_SERVERS: &str = "crashes-servers";

/// The cause by which it holds one back that a server was beginning to run as it crashed.
const CRASH_SUSPECT: &str = "crash-suspect";

/// Events of a stream.
const EVENTS: std::ops::Range<u32> = 2..60;

/// Time between two looks at which configuration is in force at a gateway.
const PROBE_EVERY: Duration = Duration::from_millis(300);

/// What all callers share.
pub struct World {
    /// The gateways.
    pub fleet: Rc<Fleet>,
    /// The store and the servers.
    pub site: Rc<Site>,
    /// What is seen.
    pub ledger: Rc<Ledger>,
    /// Whether callers go on.
    pub open: Cell<bool>,
    number: Cell<u64>,
}

impl World {
    /// Callers go on until it is closed.
    pub fn new(fleet: Rc<Fleet>, site: Rc<Site>, ledger: Rc<Ledger>) -> World {
        World { fleet, site, ledger, open: Cell::new(true), number: Cell::new(0) }
    }

    fn next_id(&self) -> String {
        self.number.set(self.number.get() + 1);
        format!("r{}", self.number.get())
    }

    /// Notes that a request goes to a gateway, as it lives now.
    fn send(&self, id: &str, repeatable: bool, gateway: SocketAddr) {
        self.ledger.send(id, repeatable);
        let mut gateways = self.fleet.gateways.iter().enumerate();
        if let Some((number, found)) = gateways.find(|(_, found)| found.at.callers == gateway) {
            self.ledger.goes_through(id, Through { gateway: number, life: found.lives.get() });
        }
    }

    fn gateway_at(&self, callers: SocketAddr) -> Option<&Rc<Gateway>> {
        self.fleet.gateways.iter().find(|gateway| gateway.at.callers == callers)
    }
}

/// One caller.
pub struct Caller {
    world: Rc<World>,
    client: Client,
    rng: ChaCha8Rng,
    given: Vec<SocketAddr>,
    keep_until: Instant,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
struct Ask {
    path: String,
    repeatable: bool,
    /// Events that a whole answer has; `None` for an answer that is the request's id.
    events: Option<u32>,
    leaves_after: Option<Duration>,
}

impl Caller {
    /// A caller with its own connections, drawing from a seed.
    pub fn new(world: Rc<World>, seed: u64) -> Caller {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let keep_until = Instant::now();
        Caller { world, client: Client::new(), rng, given: Vec::new(), keep_until }
    }

    /// Asks until the world is closed.
    pub async fn run(mut self) {
        while self.world.open.get() {
            if self.keep_until <= Instant::now() || self.given.is_empty() {
                self.ask_endpoints().await;
            }
            let again = match self.choose() {
                Some(gateway) => self.request(gateway).await,
                None => false,
            };
            // Some ask again at once.
            if !again || self.rng.random_bool(0.5) {
                time::sleep(Duration::from_millis(self.rng.random_range(PAUSE_MS))).await;
            }
        }
    }

    fn choose(&mut self) -> Option<SocketAddr> {
        let count = self.given.len();
        (count > 0).then(|| self.given[self.rng.random_range(0..count)])
    }

    async fn ask_endpoints(&mut self) {
        let gateways = &self.world.fleet.gateways;
        let asked = gateways[self.rng.random_range(0..gateways.len())].clone();
        let Some(given) = caller::endpoints(&self.client, asked.at.endpoints).await else { return };
        if asked.is_awake() {
            for named in given.iter().filter_map(|address| self.world.gateway_at(*address)) {
                self.judge_named(&asked, named);
            }
        }
        self.keep_until = Instant::now() + Duration::from_millis(self.rng.random_range(KEEP_MS));
        self.given = given;
    }

    fn judge_named(&self, asked: &Gateway, named: &Gateway) {
        let ledger = &self.world.ledger;
        let Some(off) = named.off_since.get().map(|since| since.elapsed()) else { return };
        ledger.judge(Promise::Named);
        if off > ledger.bounds.named {
            let what = format!("{} names {}, off for {off:?}", asked.name, named.name);
            ledger.broken(Promise::Named, what);
        }
    }

    fn draw(&mut self) -> Ask {
        let rng = &mut self.rng;
        let (work_ms, events) = (rng.random_range(0..80_u32), rng.random_range(EVENTS));
        let leaves_after =
            rng.random_bool(0.1).then(|| Duration::from_millis(rng.random_range(1..60)));
        let (route, repeatable, events) = match rng.random_range(0..10) {
            0..4 => ("once", false, None),
            4..7 => ("safe", true, None),
            7..9 => ("flow", true, Some(events)),
            _ => ("brook", false, Some(events)),
        };
        // Whoever leaves leaves much work behind.
        let left_work_ms = if leaves_after.is_some() { 2_500 } else { work_ms };
        let path = format!("/{route}/{}", events.unwrap_or(left_work_ms));
        Ask { path, repeatable, events, leaves_after }
    }

    /// Whether it wants to be asked again.
    async fn request(&mut self, gateway: SocketAddr) -> bool {
        let (ask, id) = (self.draw(), self.world.next_id());
        let (ledger, sent_at) = (self.world.ledger.clone(), Instant::now());
        self.world.send(&id, ask.repeatable, gateway);
        let request = caller::request(&self.client, gateway, &ask.path, &id, DEADLINE_MS);
        let answer = answered(request, &id, &ask, &ledger);
        let patience = ask.leaves_after.unwrap_or(Duration::from_millis(2 * DEADLINE_MS));
        let verdict = match time::timeout(patience, answer).await {
            Ok(verdict) => verdict,
            Err(_) => Verdict::Left(Instant::now()),
        };
        ledger.end(&id, verdict);
        if ask.leaves_after.is_none() && ledger.is_calm_since(sent_at) {
            ledger.judge(Promise::Answered);
            if matches!(verdict, Verdict::Open | Verdict::Left(_)) {
                let path = &ask.path;
                let took = sent_at.elapsed();
                let what = format!("{id} {path} at {gateway}: no answer in {took:?}, {verdict:?}");
                ledger.broken(Promise::Answered, what);
            }
        }
        // The gateway may be gone: ask which to use.
        if verdict == Verdict::Open {
            self.given.retain(|address| *address != gateway);
        }
        matches!(verdict, Verdict::Open | Verdict::NotRun)
    }
}

async fn answered(
    request: reqwest::RequestBuilder,
    id: &str,
    ask: &Ask,
    ledger: &Ledger,
) -> Verdict {
    let Ok(answer) = request.send().await else { return Verdict::Open };
    if caller::reports_not_run(&answer) && !caller::is_signed(&answer) {
        let text = answer.text().await.unwrap_or_default();
        if text.contains(CRASHES_SERVERS) {
            ledger.broken(Promise::Crashing, format!("{id} is taken for one that crashes servers"));
        }
        if text.contains(CRASH_SUSPECT) && !ledger.has_crashed_lately() {
            ledger.broken(Promise::Crashing, format!("{id} is held back, and no server crashed"));
        }
        return Verdict::NotRun;
    }
    if answer.status() != StatusCode::OK {
        return Verdict::Open;
    }
    if !caller::is_signed(&answer) {
        ledger.broken(Promise::OwnAnswer, format!("{id} has a success without a signature"));
    }
    match ask.events {
        Some(events) => stream(answer, id, events, ledger).await,
        None => whole(answer, id, ledger).await,
    }
}

async fn whole(answer: Response, id: &str, ledger: &Ledger) -> Verdict {
    match answer.text().await {
        Ok(text) if text == id => Verdict::Answered,
        Ok(text) => {
            ledger.broken(Promise::OwnAnswer, format!("{id} was answered {text:?}"));
            Verdict::Answered
        }
        Err(_) => Verdict::Open,
    }
}

/// Reads a stream: each event once, in order, its caller's own, and all of them if it ends.
async fn stream(answer: Response, id: &str, events: u32, ledger: &Ledger) -> Verdict {
    let (mut pieces, mut text) = (answer.bytes_stream(), String::new());
    let mut whole = true;
    while let Some(piece) = pieces.next().await {
        match piece {
            Ok(bytes) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
    let expected: String =
        (0..events).map(|event| format!("id: {event}\ndata: {id}\n\n")).collect();
    if !expected.starts_with(complete) || (whole && text != expected) {
        let what = format!("{id} has other events than were sent, whole {whole}: {text:?}");
        ledger.broken(Promise::OwnAnswer, what);
    }
    if whole { Verdict::Answered } else { Verdict::Open }
}

/// A request that crashes servers comes again and again, at any gateway.
pub async fn crash_servers(world: Rc<World>, trouble: Trouble) {
    let body = format!("crashes servers, {}", world.next_id());
    world.ledger.crashes_under(&body);
    world.site.crash_on(&body);
    let mut rng = ChaCha8Rng::seed_from_u64(trouble.target as u64);
    let path = ["/flow/9", "/safe/9", "/once/9"][rng.random_range(0..3)];
    let client = Client::new();
    let end = Instant::now() + trouble.lasts;
    while Instant::now() < end && world.open.get() {
        let gateway = &world.fleet.gateways[rng.random_range(0..world.fleet.gateways.len())];
        let id = world.next_id();
        world.send(&id, !path.starts_with("/once"), gateway.at.callers);
        let asked = caller::request(&client, gateway.at.callers, path, &id, DEADLINE_MS);
        let verdict = match asked.body(body.clone()).send().await {
            Ok(answer) if caller::reports_not_run(&answer) && !caller::is_signed(&answer) => {
                Verdict::NotRun
            }
            Ok(answer) => {
                drop(answer.bytes().await);
                Verdict::Open
            }
            Err(_) => Verdict::Open,
        };
        world.ledger.end(&id, verdict);
        time::sleep(Duration::from_millis(rng.random_range(CRASH_PAUSE_MS))).await;
    }
}

/// Asks a gateway again and again which configuration is in force there.
pub async fn probe(world: Rc<World>, gateway: Rc<Gateway>) {
    let client = Client::new();
    // The newest version that one life of the gateway has shown.
    let (mut life, mut shown) = (0, 0);
    while world.open.get() {
        time::sleep(PROBE_EVERY).await;
        let (newest, accepted_at) = world.site.newest();
        let life_before = gateway.lives.get();
        if life != life_before {
            (life, shown) = (life_before, 0);
        }
        let in_force = has_route(&world, &client, &gateway, newest).await;
        if in_force == Some(true) {
            shown = shown.max(newest);
        }
        let late = accepted_at.elapsed() > world.ledger.bounds.configuration;
        if in_force.is_some()
            && gateway.is_awake()
            && world.ledger.is_calm_but_for_drills_since(accepted_at)
            && late
        {
            world.ledger.judge(Promise::Configuration);
            if in_force == Some(false) && world.site.newest().0 == newest {
                let what = format!("{} has not {newest} in force", gateway.name);
                world.ledger.broken(Promise::Configuration, what);
            }
        }
        let older = shown.saturating_sub(1);
        let has_older =
            if older > 0 { has_route(&world, &client, &gateway, older).await } else { None };
        if has_older.is_some() {
            world.ledger.judge(Promise::Configuration);
        }
        if has_older == Some(true) && gateway.lives.get() == life {
            let what = format!("{} has {older} in force after {shown}", gateway.name);
            world.ledger.broken(Promise::Configuration, what);
        }
    }
}

/// Whether the route of one version exists; `None` if that could not be told.
async fn has_route(
    world: &World,
    client: &Client,
    gateway: &Gateway,
    version: u64,
) -> Option<bool> {
    let id = world.next_id();
    world.send(&id, true, gateway.at.callers);
    let path = format!("/{}/0", route_of(version));
    let request = caller::request(client, gateway.at.callers, &path, &id, DEADLINE_MS);
    let answer = request.send().await.ok()?;
    match answer.status() {
        StatusCode::NOT_FOUND => Some(false),
        StatusCode::OK => Some(true),
        _ => None,
    }
}
