//! Simulation of the choice of a backend server. Input: a policy, sizes and load. State: the
//! requests at each server, and each gateway's view of them. Measures the time to the first token.
//!
//! Requests arrive at random at several gateways. Each backend server runs some of them at once and
//! queues the others. Gateways receive the load of each server late and at long intervals, as its
//! sidecar reports it, but know their own requests at once. `Policy::Gateway` is the function that
//! gateways run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::routing;
use hooktrestle_core::routing::Candidate;
use hooktrestle_core::routing::Report;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Exp;

/// Requests that a server runs at once.
const MAX_RUNNING_REQUESTS: usize = 8;

/// Mean time of one request, in milliseconds.
const MEAN_RUN_MS: f64 = 400.0;

/// Time between two reports of a server, and their delay.
const REPORT_INTERVAL_MS: f64 = 1_000.0;
const REPORT_DELAY_MS: f64 = 200.0;

/// Policy of choosing a server.
#[derive(Clone, Copy, Debug)]
pub enum Policy {
    /// A random server.
    Random,
    /// Round robin at each gateway.
    RoundRobin,
    /// The least loaded server by the last reports.
    LeastReported,
    /// The less loaded of two random servers by the last reports.
    TwoReported,
    /// The gateways' function, which uses turns and reports.
    Gateway(routing::Config),
}

/// Sizes and load.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Gateways.
    pub gateways: usize,
    /// Backend servers.
    pub servers: usize,
    /// Demand as a fraction of the servers' capacity.
    pub load: f64,
    /// Whether one server stalls for a second of each five.
    pub stalls: bool,
    /// Simulated time in milliseconds.
    pub duration_ms: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Waits for the first token, in milliseconds, sorted.
    pub first_ms: Vec<f64>,
    /// Requests of the busiest server over the mean.
    pub busiest: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Arrive,
    Finish { server: usize, gateway: usize },
    Report { server: usize },
    Deliver { server: usize, queued: u32, running: u32 },
    Stall { server: usize, on: bool },
}

#[derive(Clone, Copy, Debug)]
struct Scheduled(f64, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

#[derive(Debug, Default)]
struct Server {
    waiting: VecDeque<(f64, usize)>,
    running: usize,
    stalled: bool,
    served: u64,
}

struct Simulation {
    config: Config,
    policy: Policy,
    rng: ChaCha8Rng,
    now_ms: f64,
    counter: u64,
    events: BinaryHeap<Reverse<Scheduled>>,
    servers: Vec<Server>,
    views: Vec<Vec<Candidate>>,
    last_chosen: Vec<usize>,
    first_ms: Vec<f64>,
}

/// Runs one policy.
pub fn run(policy: Policy, config: Config) -> Outcome {
    let candidate = Candidate { weight: 1, usable: true, ..Candidate::default() };
    let mut simulation = Simulation {
        policy,
        rng: ChaCha8Rng::seed_from_u64(config.seed),
        now_ms: 0.0,
        counter: 0,
        events: BinaryHeap::new(),
        servers: (0..config.servers).map(|_| Server::default()).collect(),
        views: vec![vec![candidate; config.servers]; config.gateways],
        last_chosen: (0..config.gateways).collect(),
        first_ms: Vec::new(),
        config,
    };
    simulation.start();
    while let Some(Reverse(Scheduled(at_ms, _, event))) = simulation.events.pop() {
        if at_ms > config.duration_ms {
            break;
        }
        simulation.now_ms = at_ms;
        simulation.handle(event);
    }
    simulation.outcome()
}

impl Simulation {
    fn start(&mut self) {
        self.schedule(0.0, Event::Arrive);
        for server in 0..self.config.servers {
            let first_ms = REPORT_INTERVAL_MS * server as f64 / self.config.servers as f64;
            self.schedule(first_ms, Event::Report { server });
        }
        if self.config.stalls {
            self.schedule(2_000.0, Event::Stall { server: 0, on: true });
        }
    }

    fn schedule(&mut self, span_ms: f64, event: Event) {
        self.counter += 1;
        self.events.push(Reverse(Scheduled(self.now_ms + span_ms, self.counter, event)));
    }

    fn draw(&mut self, mean_ms: f64) -> f64 {
        Exp::new(1.0 / mean_ms).map_or(mean_ms, |spread| spread.sample(&mut self.rng))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Finish { server, gateway } => {
                self.servers[server].running -= 1;
                self.views[gateway][server].ended();
                self.fill(server);
            }
            Event::Report { server } => {
                let queued = self.servers[server].waiting.len() as u32;
                let running = self.servers[server].running as u32;
                self.schedule(REPORT_DELAY_MS, Event::Deliver { server, queued, running });
                self.schedule(REPORT_INTERVAL_MS, Event::Report { server });
            }
            Event::Deliver { server, queued, running } => self.deliver(server, queued, running),
            Event::Stall { server, on } => {
                self.servers[server].stalled = on;
                let span_ms = if on { 1_000.0 } else { 4_000.0 };
                self.schedule(span_ms, Event::Stall { server, on: !on });
                self.fill(server);
            }
        }
    }

    fn arrive(&mut self) {
        let per_ms =
            self.config.load * (self.config.servers * MAX_RUNNING_REQUESTS) as f64 / MEAN_RUN_MS;
        let next_ms = self.draw(1.0 / per_ms);
        self.schedule(next_ms, Event::Arrive);
        let gateway = self.rng.random_range(0..self.config.gateways);
        let server = self.choose(gateway);
        if !matches!(self.policy, Policy::Gateway(_)) {
            self.views[gateway][server].own_requests += 1;
        }
        self.servers[server].waiting.push_back((self.now_ms, gateway));
        self.fill(server);
    }

    fn choose(&mut self, gateway: usize) -> usize {
        let count = self.config.servers;
        let view = &self.views[gateway];
        let reported = |server: usize| {
            let report = view[server].report;
            report.queued_requests + report.running_requests
        };
        match self.policy {
            Policy::Random => self.rng.random_range(0..count),
            Policy::RoundRobin => {
                self.last_chosen[gateway] = (self.last_chosen[gateway] + 1) % count;
                self.last_chosen[gateway]
            }
            Policy::LeastReported => (0..count).min_by_key(|server| reported(*server)).unwrap_or(0),
            Policy::TwoReported => {
                let pair = [self.rng.random_range(0..count), self.rng.random_range(0..count)];
                if reported(pair[1]) < reported(pair[0]) { pair[1] } else { pair[0] }
            }
            Policy::Gateway(config) => {
                let now = Millis(self.now_ms as u64);
                let view = &mut self.views[gateway];
                routing::choose(&config, view, &[], 1.0, now, &mut self.rng).unwrap_or(0)
            }
        }
    }

    /// Starts waiting requests while the server has room; a stalled server starts none.
    fn fill(&mut self, server: usize) {
        while !self.servers[server].stalled && self.servers[server].running < MAX_RUNNING_REQUESTS {
            let Some((since_ms, gateway)) = self.servers[server].waiting.pop_front() else {
                return;
            };
            self.servers[server].running += 1;
            self.servers[server].served += 1;
            self.first_ms.push(self.now_ms - since_ms);
            let run_ms = self.draw(MEAN_RUN_MS);
            self.schedule(run_ms, Event::Finish { server, gateway });
        }
    }

    fn deliver(&mut self, server: usize, queued_requests: u32, running_requests: u32) {
        for view in &mut self.views {
            let at = Millis(self.now_ms as u64);
            let leaving = false;
            view[server].report = Report { at, queued_requests, running_requests, leaving };
        }
    }

    fn outcome(mut self) -> Outcome {
        // Requests that wait at the end count with their wait so far. Otherwise a policy would gain
        // by leaving requests in queues.
        for server in &self.servers {
            let waits = server.waiting.iter().map(|(since_ms, _)| self.now_ms - since_ms);
            self.first_ms.extend(waits);
        }
        self.first_ms.sort_by(f64::total_cmp);
        let served: Vec<f64> = self.servers.iter().map(|server| server.served as f64).collect();
        let mean = served.iter().sum::<f64>() / served.len() as f64;
        let busiest = served.iter().copied().fold(0.0, f64::max) / mean;
        Outcome { first_ms: self.first_ms, busiest }
    }
}
