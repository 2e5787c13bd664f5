//! Simulator of groups of ranks in lock-step, with callers that wait, time out and retry. Input: a
//! scenario and an admission policy. State: the streams of each group and the waiting requests.
//! Counts the requests that are answered in time, late or not at all.
//!
//! A group runs one pass after the other. A pass takes as long as its slowest rank, and each
//! running stream gets one event from it. Each stream therefore makes all streams slower, also a
//! stream that can no longer be in time. The admission control of `hooktrestle_core` runs
//! unchanged, next to baselines, on the same arrivals. Time is simulated, so a seed gives the same
//! figures on every run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::admission;
use hooktrestle_core::direct::admission::Admission;
use hooktrestle_core::direct::admission::Decision;
use hooktrestle_core::direct::admission::LatencyObjective;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Length of a step of the simulation.
const STEP_MS: u64 = 5;

/// Time after which a caller without a first event gives up the attempt. It retries once.
const CALLER_TIMEOUT_MS: u64 = 2_000;

/// Maximum retry time that callers respect.
const MAX_RETRY_AFTER_MS: u64 = 2_600;

/// Score of a late answer, relative to one in time, by the users' scoring.
const LATE_SCORE: f64 = 0.245;

/// Cost of a request that is retried and refused again, relative to the score of an answer in time,
/// by the users' scoring.
const REPEATED_REFUSAL_COST: f64 = 0.3;

/// A span of simulated time.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Start of the span.
    pub from_ms: u64,
    /// End of the span.
    pub to_ms: u64,
}

impl Span {
    fn holds(self, now_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&now_ms)
    }
}

/// Groups of a service, with their traffic and faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Groups of the service.
    pub groups: usize,
    /// Ranks of a group.
    pub ranks: usize,
    /// Streams that a rank runs at once; further ones wait at the rank.
    pub slots: usize,
    /// Gateways, each with a separate admission control.
    pub gateways: usize,
    /// Length of a pass without streams.
    pub min_pass_ms: f64,
    /// Time that a stream adds to the part of a pass that depends on its rank alone.
    pub rank_ms_per_stream: f64,
    /// Time that a stream adds to the experts' part of a pass, which all ranks share, if the ranks
    /// are equally loaded.
    pub experts_ms_per_stream: f64,
    /// Load of the most loaded rank over the mean.
    pub skew: f64,
    /// Skew for half a second after each shift of demand.
    pub skew_after_shift: f64,
    /// Time between shifts.
    pub shift_every_ms: u64,
    /// Mean number of events of a stream.
    pub events: f64,
    /// Requests for streams a second.
    pub arrivals_per_s: f64,
    /// Spans with more traffic, and the factor of each.
    pub bursts: Vec<(Span, f64)>,
    /// Spans in which the first group is stalled.
    pub stalls: Vec<Span>,
    /// Latency objective of the first event.
    pub first_event_ms: u64,
    /// Latency objective of the pause between two events.
    pub pause_ms: f64,
    /// Length of the simulation.
    pub length_ms: u64,
    /// Seed of the arrivals.
    pub seed: u64,
}

impl Scenario {
    /// Number of streams in all groups at which passes take as long as the objective of the pause.
    pub fn capacity_streams(&self) -> usize {
        let each_ms = self.rank_ms_per_stream + self.experts_ms_per_stream * self.skew;
        let of_rank = (self.pause_ms - self.min_pass_ms) / each_ms;
        (of_rank * (self.groups * self.ranks) as f64) as usize
    }
}

/// Length of a pass with the usual traffic, as gateways observe it on the users' deployments.
const USUAL_PASS_MS: f64 = 60.0;

/// Groups of 12 to 128 ranks with two bursts, with stalls, and with both. The traffic is such that
/// passes have the usual length.
pub fn scenarios() -> Vec<(String, Scenario)> {
    let base = Scenario {
        groups: 1,
        ranks: 12,
        slots: 10,
        gateways: 6,
        min_pass_ms: 18.0,
        rank_ms_per_stream: 4.0,
        experts_ms_per_stream: 4.0,
        skew: 1.25,
        skew_after_shift: 2.5,
        shift_every_ms: 4_000,
        events: 23.0,
        arrivals_per_s: 0.0,
        bursts: Vec::new(),
        stalls: Vec::new(),
        first_event_ms: 400,
        pause_ms: 120.0,
        length_ms: 34_000,
        seed: 0,
    };
    let bursts = vec![
        (Span { from_ms: 6_000, to_ms: 9_000 }, 1.7),
        (Span { from_ms: 18_000, to_ms: 22_000 }, 1.5),
    ];
    let stalls =
        vec![Span { from_ms: 5_000, to_ms: 7_500 }, Span { from_ms: 24_000, to_ms: 26_500 }];
    let sizes = [(1, 12, 6), (3, 24, 32), (1, 63, 38), (2, 96, 149), (2, 128, 200)];
    let mut named = Vec::new();
    for (name, with_bursts, with_stalls) in
        [("bursts", true, false), ("halts", false, true), ("both", true, true)]
    {
        for (groups, ranks, gateways) in sizes {
            let mut scenario = Scenario { groups, ranks, gateways, ..base.clone() };
            let used_ms = USUAL_PASS_MS - scenario.min_pass_ms;
            let running = scenario.capacity_streams() as f64 * used_ms
                / (scenario.pause_ms - scenario.min_pass_ms);
            scenario.arrivals_per_s = running * 1_000.0 / (scenario.events * USUAL_PASS_MS);
            scenario.bursts = if with_bursts { bursts.clone() } else { Vec::new() };
            scenario.stalls = if with_stalls { stalls.clone() } else { Vec::new() };
            named.push((format!("{name}, {groups} of {ranks} ranks"), scenario));
        }
    }
    named
}

/// Policy of admission.
#[derive(Clone, Copy, Debug)]
pub enum Policy {
    /// Admits all requests.
    AdmitAll,
    /// Admits this number of streams at each gateway; other callers retry after a second.
    FixedLimit(usize),
    /// Admission control of the gateways, with the actual number of occupied slots.
    Gateway(admission::Config),
    /// Admits a stream if the next pass meets the objective. Unlike a gateway, it knows the streams
    /// of all groups and the length of the next pass.
    Oracle,
    /// As `Oracle`, but admits retries only up to this fraction of the time available for passes,
    /// since a retry can no longer be in time.
    FirstAttemptsPreferred(f64),
    /// Admits all first attempts, and retries as `FirstAttemptsPreferred`.
    RetriesYield(f64),
}

/// Results of the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Requests, each counted once.
    pub requests: u32,
    /// Requests whose first attempt was answered with all events in time.
    pub in_time: u32,
    /// Requests that were answered, but not in time.
    pub late: u32,
    /// Requests whose retry was refused too.
    pub refused: u32,
    /// Requests whose retry timed out.
    pub timed_out: u32,
    /// Mean length of a pass.
    pub pass_ms: f64,
    /// End of the last pass that was longer than the objective of the pause.
    pub last_long_ms: u64,
}

impl Outcome {
    /// Score of all answers, relative to the score if all requests were answered in time.
    pub fn score(&self) -> f64 {
        let earned = f64::from(self.in_time) + LATE_SCORE * f64::from(self.late);
        (earned - REPEATED_REFUSAL_COST * f64::from(self.refused)) / f64::from(self.requests.max(1))
    }
}

/// A caller's request.
#[derive(Clone, Copy, Debug)]
struct Request {
    arrived_ms: u64,
    attempted_ms: u64,
    events: u32,
    is_retry: bool,
}

#[derive(Clone, Copy, Debug)]
struct Stream {
    request: Request,
    gateway: usize,
    admitted_ms: u64,
    events_left: u32,
    has_first_event: bool,
    in_time: bool,
}

#[derive(Clone, Debug, Default)]
struct Rank {
    running: Vec<Stream>,
    waiting: Vec<Stream>,
}

#[derive(Clone, Debug)]
struct Group {
    ranks: Vec<Rank>,
    /// End and length of the running pass.
    pass: Option<(u64, f64)>,
}

impl Group {
    fn streams(&self) -> usize {
        self.ranks.iter().map(|rank| rank.running.len() + rank.waiting.len()).sum()
    }

    fn running(&self) -> usize {
        self.ranks.iter().map(|rank| rank.running.len()).sum()
    }
}

/// Simulates a scenario with a policy.
pub fn simulate(scenario: &Scenario, policy: Policy) -> Outcome {
    let mut simulation = Simulation::new(scenario, policy);
    for now_ms in (0..scenario.length_ms).step_by(STEP_MS as usize) {
        simulation.arrive(now_ms);
        simulation.send_retries(now_ms);
        simulation.admit_waiting(now_ms);
        for group in 0..simulation.groups.len() {
            simulation.step(group, now_ms);
        }
    }
    simulation.outcome.pass_ms /= f64::from(simulation.passes.max(1));
    simulation.outcome
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: ChaCha8Rng,
    groups: Vec<Group>,
    admissions: Vec<Admission>,
    /// Requests that wait at each gateway, and the end of their wait.
    waiting: Vec<Vec<(Request, u64)>>,
    /// Times of retries, with the index in `retries`.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    retries: Vec<Request>,
    next_ms: f64,
    passes: u32,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy) -> Simulation<'a> {
        let config = match policy {
            Policy::Gateway(config) => config,
            _ => admission::Config::default(),
        };
        let group = Group { ranks: vec![Rank::default(); scenario.ranks], pass: None };
        Simulation {
            scenario,
            policy,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            groups: vec![group; scenario.groups],
            admissions: vec![Admission::new(config); scenario.gateways],
            waiting: vec![Vec::new(); scenario.gateways],
            due: BinaryHeap::new(),
            retries: Vec::new(),
            next_ms: 0.0,
            passes: 0,
            outcome: Outcome::default(),
        }
    }

    fn objective(&self) -> LatencyObjective {
        LatencyObjective {
            pause_ms: self.scenario.pause_ms,
            min_pass_ms: self.scenario.min_pass_ms,
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        while self.next_ms <= now_ms as f64 {
            let burst = self.scenario.bursts.iter().find(|(span, _)| span.holds(now_ms));
            let arrivals_per_s =
                self.scenario.arrivals_per_s * burst.map_or(1.0, |(_, times)| *times);
            let drawn: f64 = self.rng.random::<f64>().max(1e-9);
            self.next_ms += -1_000.0 / arrivals_per_s * drawn.ln();
            let events = -self.scenario.events * self.rng.random::<f64>().max(1e-9).ln();
            let events = (events as u32).clamp(1, (2.5 * self.scenario.events) as u32);
            self.outcome.requests += 1;
            let request =
                Request { arrived_ms: now_ms, attempted_ms: now_ms, events, is_retry: false };
            self.arrive_at_gateway(request, now_ms);
        }
    }

    fn send_retries(&mut self, now_ms: u64) {
        while let Some(Reverse((at, place))) = self.due.peek().copied() {
            if at > now_ms {
                return;
            }
            self.due.pop();
            let request = Request { attempted_ms: now_ms, is_retry: true, ..self.retries[place] };
            self.arrive_at_gateway(request, now_ms);
        }
    }

    /// Sends a request to a random gateway, which admits it, lets it wait or refuses it.
    fn arrive_at_gateway(&mut self, request: Request, now_ms: u64) {
        let gateway = self.rng.random_range(0..self.scenario.gateways);
        let all_stalled = self.least_loaded_group(now_ms).is_none();
        if all_stalled {
            return self.refuse(request, Millis(MAX_RETRY_AFTER_MS), now_ms);
        }
        match self.admission_decision(gateway, request, now_ms) {
            Decision::Admitted => self.begin(gateway, request, now_ms),
            Decision::Waits => {
                self.admissions[gateway].wait_began();
                let until = request.attempted_ms + self.scenario.first_event_ms / 2;
                self.waiting[gateway].push((request, until));
            }
            Decision::Refused(after) => self.refuse(request, after, now_ms),
        }
    }

    fn admission_decision(&mut self, gateway: usize, request: Request, now_ms: u64) -> Decision {
        let objective = self.objective();
        let running: usize = self.groups.iter().map(Group::streams).sum();
        let slots = self.scenario.groups * self.scenario.ranks * self.scenario.slots;
        match self.policy {
            Policy::AdmitAll => Decision::Admitted,
            Policy::FixedLimit(max_streams) => {
                let own = self.groups.iter().flat_map(|group| &group.ranks);
                let own = own.flat_map(|rank| rank.running.iter().chain(&rank.waiting));
                let own = own.filter(|stream| stream.gateway == gateway).count();
                if own < max_streams {
                    Decision::Admitted
                } else {
                    Decision::Refused(Millis(1_000))
                }
            }
            Policy::Gateway(_) => {
                let spent_ms = now_ms - request.attempted_ms;
                let left_ms = self.scenario.first_event_ms.saturating_sub(spent_ms) as f64;
                let busy = running as f64 / slots as f64;
                self.admissions[gateway].decide(objective, left_ms, busy, Millis(now_ms))
            }
            Policy::Oracle => self.decision_by_pass_length(1.0, now_ms),
            Policy::RetriesYield(_) if !request.is_retry => Decision::Admitted,
            Policy::RetriesYield(fraction) => self.decision_by_pass_length(fraction, now_ms),
            Policy::FirstAttemptsPreferred(fraction) => {
                self.decision_by_pass_length(if request.is_retry { fraction } else { 1.0 }, now_ms)
            }
        }
    }

    /// Admits a request if the next pass adds at most this fraction of the time that the objective
    /// of the pause leaves above the shortest pass.
    fn decision_by_pass_length(&self, fraction: f64, now_ms: u64) -> Decision {
        let Some(group) = self.least_loaded_group(now_ms) else {
            return Decision::Refused(Millis(MAX_RETRY_AFTER_MS));
        };
        let next_ms = self.pass_ms(group, self.groups[group].streams() + 1, now_ms);
        let min_ms = self.scenario.min_pass_ms;
        if next_ms - min_ms <= (self.scenario.pause_ms - min_ms) * fraction {
            Decision::Admitted
        } else {
            Decision::Refused(Millis(MAX_RETRY_AFTER_MS))
        }
    }

    fn refuse(&mut self, request: Request, after: Millis, now_ms: u64) {
        if request.is_retry {
            self.outcome.refused += 1;
            return;
        }
        self.due.push(Reverse((
            now_ms + after.0.clamp(STEP_MS, MAX_RETRY_AFTER_MS),
            self.retries.len(),
        )));
        self.retries.push(request);
    }

    /// The group with the fewest streams among those that are not stalled.
    fn least_loaded_group(&self, now_ms: u64) -> Option<usize> {
        let open = (0..self.groups.len()).filter(|group| !self.is_stalled(*group, now_ms));
        open.min_by_key(|group| self.groups[*group].streams())
    }

    fn is_stalled(&self, group: usize, now_ms: u64) -> bool {
        group == 0 && self.scenario.stalls.iter().any(|stall| stall.holds(now_ms))
    }

    fn begin(&mut self, gateway: usize, request: Request, now_ms: u64) {
        let Some(group) = self.least_loaded_group(now_ms) else {
            return self.refuse(request, Millis(MAX_RETRY_AFTER_MS), now_ms);
        };
        self.admissions[gateway].began();
        let stream = Stream {
            request,
            gateway,
            admitted_ms: now_ms,
            events_left: request.events,
            has_first_event: false,
            in_time: !request.is_retry,
        };
        let ranks = &mut self.groups[group].ranks;
        let rank = ranks.iter_mut().min_by_key(|rank| rank.running.len() + rank.waiting.len());
        if let Some(rank) = rank {
            rank.waiting.push(stream);
        }
    }

    /// Admits requests that wait at gateways, if there is room or their wait has ended.
    fn admit_waiting(&mut self, now_ms: u64) {
        let objective = self.objective();
        for gateway in 0..self.waiting.len() {
            self.waiting[gateway].sort_by_key(|(request, _)| Reverse(request.arrived_ms));
            while let Some((request, until)) = self.waiting[gateway].last().copied() {
                if until > now_ms && !self.admissions[gateway].has_room(objective, Millis(now_ms)) {
                    break;
                }
                self.waiting[gateway].pop();
                self.admissions[gateway].wait_ended();
                self.begin(gateway, request, now_ms);
            }
        }
    }

    fn pass_ms(&self, group: usize, streams: usize, now_ms: u64) -> f64 {
        let scenario = self.scenario;
        let shifted = now_ms % scenario.shift_every_ms < 500;
        let skew = if shifted { scenario.skew_after_shift } else { scenario.skew };
        let busiest = self.groups[group].ranks.iter().map(|rank| rank.running.len()).max();
        let even = streams as f64 / scenario.ranks as f64;
        let own = scenario.rank_ms_per_stream * (busiest.unwrap_or_default() as f64).max(even);
        scenario.min_pass_ms + own + scenario.experts_ms_per_stream * even * skew
    }

    fn step(&mut self, group: usize, now_ms: u64) {
        if let Some((ends_ms, length_ms)) = self.groups[group].pass
            && ends_ms <= now_ms
        {
            self.groups[group].pass = None;
            self.end_pass(group, length_ms, now_ms);
        }
        self.time_out_callers(group, now_ms);
        if self.groups[group].pass.is_some() || self.is_stalled(group, now_ms) {
            return;
        }
        let slots = self.scenario.slots;
        for rank in &mut self.groups[group].ranks {
            let room = slots.saturating_sub(rank.running.len()).min(rank.waiting.len());
            rank.running.extend(rank.waiting.drain(..room));
        }
        let running = self.groups[group].running();
        if running > 0 {
            let length_ms = self.pass_ms(group, running, now_ms);
            self.groups[group].pass = Some((now_ms + length_ms as u64, length_ms));
        }
    }

    /// Gives each running stream an event.
    fn end_pass(&mut self, group: usize, length_ms: f64, now_ms: u64) {
        self.passes += 1;
        self.outcome.pass_ms += length_ms;
        let is_long = length_ms > self.scenario.pause_ms;
        if is_long {
            self.outcome.last_long_ms = now_ms;
        }
        let (first_event_ms, now) = (self.scenario.first_event_ms, Millis(now_ms));
        for rank in &mut self.groups[group].ranks {
            for stream in &mut rank.running {
                let admission = &mut self.admissions[stream.gateway];
                if stream.has_first_event {
                    stream.in_time &= !is_long;
                    admission.record_pass(length_ms, now);
                } else {
                    stream.has_first_event = true;
                    stream.in_time &= now_ms - stream.request.arrived_ms <= first_event_ms;
                    admission.record_first_event((now_ms - stream.admitted_ms) as f64);
                }
                stream.events_left -= 1;
                if stream.events_left == 0 {
                    admission.ended(Some((now_ms - stream.admitted_ms) as f64));
                    self.outcome.in_time += u32::from(stream.in_time);
                    self.outcome.late += u32::from(!stream.in_time);
                }
            }
            rank.running.retain(|stream| stream.events_left > 0);
        }
    }

    /// Ends the attempts of callers that have no first event within the timeout; each retries once.
    fn time_out_callers(&mut self, group: usize, now_ms: u64) {
        let mut expired = Vec::new();
        for rank in &mut self.groups[group].ranks {
            for streams in [&mut rank.running, &mut rank.waiting] {
                streams.retain(|stream| {
                    let stays = stream.has_first_event
                        || now_ms - stream.request.attempted_ms < CALLER_TIMEOUT_MS;
                    if !stays {
                        expired.push(*stream);
                    }
                    stays
                });
            }
        }
        for stream in expired {
            self.admissions[stream.gateway].ended(None);
            if stream.request.is_retry {
                self.outcome.timed_out += 1;
            } else {
                self.refuse(stream.request, Millis(STEP_MS), now_ms);
            }
        }
    }
}
