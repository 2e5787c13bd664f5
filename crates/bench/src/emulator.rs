//! Groups of ranks in lock-step with callers that wait, leave and come back, in simulated time.
//!
//! A group makes one pass after the other; a pass takes as long as its slowest rank, and each of its
//! streams gets one event by it. So every stream makes all streams slower, and one that cannot be on
//! time any more still does. The admission of `hooktrestle_core` runs here unchanged, beside baselines,
//! on the same arrivals. Nothing here reads a clock: a seed gives the same figures on every run.

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

/// Time after which a caller whose stream has not begun leaves, and comes back if it may.
const PATIENCE_MS: u64 = 2_000;

/// Longest time to come back that callers heed.
const HEEDED_MS: u64 = 2_600;

/// Worth of an answer that is late, over that of one in time, as on the users' sheets.
const LATE_WORTH: f64 = 0.245;

/// What a request costs that came back after a refusal and is refused again, over its worth, as on the
/// users' pages.
const AGAIN_COST: f64 = 0.3;

/// A span of simulated time.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Its beginning.
    pub from_ms: u64,
    /// Its end.
    pub to_ms: u64,
}

impl Span {
    fn holds(self, now_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&now_ms)
    }
}

/// The groups, and what comes upon them.
#[derive(Clone, Debug)]
pub struct Scene {
    /// Groups of the service.
    pub groups: usize,
    /// Ranks of a group.
    pub ranks: usize,
    /// Streams that a rank works on at once; more wait there.
    pub slots: usize,
    /// Gateways, each with an admission of its own.
    pub gateways: usize,
    /// A pass with no stream.
    pub min_pass_ms: f64,
    /// What a stream adds to its rank's own part of a pass.
    pub own_ms: f64,
    /// What a stream adds to the experts' part, shared by all ranks, while each bears the same.
    pub experts_ms: f64,
    /// The most loaded rank over the mean.
    pub skew: f64,
    /// The same for half a second after each shift of demand.
    pub skew_after_shift: f64,
    /// Time between shifts.
    pub shift_every_ms: u64,
    /// Mean events of a stream.
    pub events: f64,
    /// Streams asked for a second.
    pub each_s: f64,
    /// Traffic that is so many times as much.
    pub bursts: Vec<(Span, f64)>,
    /// Spans in which the first group stands still.
    pub halts: Vec<Span>,
    /// Longest time to the first event.
    pub first_ms: u64,
    /// Longest pause between events.
    pub pause_ms: f64,
    /// How long it is played.
    pub length_ms: u64,
    /// Seed of the arrivals.
    pub seed: u64,
}

impl Scene {
    /// Streams of all groups whose passes stay within the pause that is owed.
    pub fn bearable(&self) -> usize {
        let each_ms = self.own_ms + self.experts_ms * self.skew;
        let of_rank = (self.pause_ms - self.min_pass_ms) / each_ms;
        (of_rank * (self.groups * self.ranks) as f64) as usize
    }
}

/// Pass with the usual traffic, as gateways see it on the users' deployments.
const USUAL_PASS_MS: f64 = 60.0;

/// Groups of 12 to 128 ranks on days with two bursts, with halts, and with both. The traffic is what
/// makes usual passes.
pub fn scenes() -> Vec<(String, Scene)> {
    let base = Scene {
        groups: 1,
        ranks: 12,
        slots: 10,
        gateways: 6,
        min_pass_ms: 18.0,
        own_ms: 4.0,
        experts_ms: 4.0,
        skew: 1.25,
        skew_after_shift: 2.5,
        shift_every_ms: 4_000,
        events: 23.0,
        each_s: 0.0,
        bursts: Vec::new(),
        halts: Vec::new(),
        first_ms: 400,
        pause_ms: 120.0,
        length_ms: 34_000,
        seed: 0,
    };
    let bursts = vec![
        (Span { from_ms: 6_000, to_ms: 9_000 }, 1.7),
        (Span { from_ms: 18_000, to_ms: 22_000 }, 1.5),
    ];
    let halts =
        vec![Span { from_ms: 5_000, to_ms: 7_500 }, Span { from_ms: 24_000, to_ms: 26_500 }];
    let sizes = [(1, 12, 6), (3, 24, 32), (1, 63, 38), (2, 96, 149), (2, 128, 200)];
    let mut found = Vec::new();
    for (name, with_bursts, with_halts) in
        [("bursts", true, false), ("halts", false, true), ("both", true, true)]
    {
        for (groups, ranks, gateways) in sizes {
            let mut scene = Scene { groups, ranks, gateways, ..base.clone() };
            let used_ms = USUAL_PASS_MS - scene.min_pass_ms;
            let running = scene.bearable() as f64 * used_ms / (scene.pause_ms - scene.min_pass_ms);
            scene.each_s = running * 1_000.0 / (scene.events * USUAL_PASS_MS);
            scene.bursts = if with_bursts { bursts.clone() } else { Vec::new() };
            scene.halts = if with_halts { halts.clone() } else { Vec::new() };
            found.push((format!("{name}, {groups} of {ranks} ranks"), scene));
        }
    }
    found
}

/// Who is let in.
#[derive(Clone, Copy, Debug)]
pub enum Policy {
    /// Everybody.
    All,
    /// So many streams at each gateway; the others come back after a second.
    Fixed(usize),
    /// Admission as gateways have it, told how many slots are taken.
    Ours(admission::Config),
    /// As many as passes bear, by what runs in all groups; it knows how long passes will be.
    Oracle,
    /// The same, and callers that come back are let in only while so large a part of what is borne runs:
    /// they cannot be on time any more.
    FreshFirst(f64),
    /// Everybody who comes for the first time; callers that come back as above.
    Yields(f64),
}

/// How the callers fared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Requests, each counted once.
    pub asked: u32,
    /// Answered in time from the first try on.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Refused for good.
    pub refused: u32,
    /// Left without an answer.
    pub left: u32,
    /// Mean pass while passes were made.
    pub pass_ms: f64,
    /// Last moment at which a pass was longer than the pause that is owed.
    pub last_long_ms: u64,
}

impl Outcome {
    /// Worth of all answers over that of all requests, from the first try on.
    pub fn worth(&self) -> f64 {
        let earned = f64::from(self.in_time) + LATE_WORTH * f64::from(self.late);
        (earned - AGAIN_COST * f64::from(self.refused)) / f64::from(self.asked.max(1))
    }
}

/// A caller's request.
#[derive(Clone, Copy, Debug)]
struct Request {
    asked_ms: u64,
    tried_ms: u64,
    events: u32,
    came_back: bool,
}

#[derive(Clone, Copy, Debug)]
struct Stream {
    request: Request,
    gateway: usize,
    entered_ms: u64,
    left: u32,
    begun: bool,
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
    /// When the pass that is made ends, and how long it takes.
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

/// Plays a scene under a policy.
pub fn play(scene: &Scene, policy: Policy) -> Outcome {
    let mut play = Play::new(scene, policy);
    for now_ms in (0..scene.length_ms).step_by(STEP_MS as usize) {
        play.arrive(now_ms);
        play.come_back(now_ms);
        play.let_in(now_ms);
        for group in 0..play.groups.len() {
            play.step(group, now_ms);
        }
    }
    play.outcome.pass_ms /= f64::from(play.passes.max(1));
    play.outcome
}

struct Play<'a> {
    scene: &'a Scene,
    policy: Policy,
    rng: ChaCha8Rng,
    groups: Vec<Group>,
    admissions: Vec<Admission>,
    /// Requests that wait at each gateway, and until when.
    waiting: Vec<Vec<(Request, u64)>>,
    /// When callers come back, by place among `returning`.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    returning: Vec<Request>,
    next_ms: f64,
    passes: u32,
    outcome: Outcome,
}

impl<'a> Play<'a> {
    fn new(scene: &'a Scene, policy: Policy) -> Play<'a> {
        let config = match policy {
            Policy::Ours(config) => config,
            _ => admission::Config::default(),
        };
        let group = Group { ranks: vec![Rank::default(); scene.ranks], pass: None };
        Play {
            scene,
            policy,
            rng: ChaCha8Rng::seed_from_u64(scene.seed),
            groups: vec![group; scene.groups],
            admissions: vec![Admission::new(config); scene.gateways],
            waiting: vec![Vec::new(); scene.gateways],
            due: BinaryHeap::new(),
            returning: Vec::new(),
            next_ms: 0.0,
            passes: 0,
            outcome: Outcome::default(),
        }
    }

    fn owed(&self) -> LatencyObjective {
        LatencyObjective { pause_ms: self.scene.pause_ms, min_pass_ms: self.scene.min_pass_ms }
    }

    fn arrive(&mut self, now_ms: u64) {
        while self.next_ms <= now_ms as f64 {
            let burst = self.scene.bursts.iter().find(|(span, _)| span.holds(now_ms));
            let each_s = self.scene.each_s * burst.map_or(1.0, |(_, times)| *times);
            let drawn: f64 = self.rng.random::<f64>().max(1e-9);
            self.next_ms += -1_000.0 / each_s * drawn.ln();
            let events = -self.scene.events * self.rng.random::<f64>().max(1e-9).ln();
            let events = (events as u32).clamp(1, (2.5 * self.scene.events) as u32);
            self.outcome.asked += 1;
            let request = Request { asked_ms: now_ms, tried_ms: now_ms, events, came_back: false };
            self.enter(request, now_ms);
        }
    }

    fn come_back(&mut self, now_ms: u64) {
        while let Some(Reverse((at, place))) = self.due.peek().copied() {
            if at > now_ms {
                return;
            }
            self.due.pop();
            let request = Request { tried_ms: now_ms, came_back: true, ..self.returning[place] };
            self.enter(request, now_ms);
        }
    }

    /// A request reaches one of the gateways.
    fn enter(&mut self, request: Request, now_ms: u64) {
        let gateway = self.rng.random_range(0..self.scene.gateways);
        let stands = self.open_group(now_ms).is_none();
        if stands {
            return self.refuse(request, Millis(HEEDED_MS), now_ms);
        }
        match self.entry(gateway, request, now_ms) {
            Decision::Admitted => self.begin(gateway, request, now_ms),
            Decision::Waits => {
                self.admissions[gateway].wait_began();
                let until = request.tried_ms + self.scene.first_ms / 2;
                self.waiting[gateway].push((request, until));
            }
            Decision::Refused(after) => self.refuse(request, after, now_ms),
        }
    }

    fn entry(&mut self, gateway: usize, request: Request, now_ms: u64) -> Decision {
        let owed = self.owed();
        let running: usize = self.groups.iter().map(Group::streams).sum();
        let slots = self.scene.groups * self.scene.ranks * self.scene.slots;
        match self.policy {
            Policy::All => Decision::Admitted,
            Policy::Fixed(most) => {
                let own = self.groups.iter().flat_map(|group| &group.ranks);
                let own = own.flat_map(|rank| rank.running.iter().chain(&rank.waiting));
                let own = own.filter(|stream| stream.gateway == gateway).count();
                if own < most { Decision::Admitted } else { Decision::Refused(Millis(1_000)) }
            }
            Policy::Ours(_) => {
                let spent_ms = now_ms - request.tried_ms;
                let left_ms = self.scene.first_ms.saturating_sub(spent_ms) as f64;
                let busy = running as f64 / slots as f64;
                self.admissions[gateway].decide(owed, left_ms, busy, Millis(now_ms))
            }
            Policy::Oracle => self.entry_by_passes(1.0, now_ms),
            Policy::Yields(_) if !request.came_back => Decision::Admitted,
            Policy::Yields(part) => self.entry_by_passes(part, now_ms),
            Policy::FreshFirst(part) => {
                self.entry_by_passes(if request.came_back { part } else { 1.0 }, now_ms)
            }
        }
    }

    /// Whether the next pass stays within a part of what may be added to the shortest one.
    fn entry_by_passes(&self, part: f64, now_ms: u64) -> Decision {
        let Some(group) = self.open_group(now_ms) else {
            return Decision::Refused(Millis(HEEDED_MS));
        };
        let next_ms = self.pass_ms(group, self.groups[group].streams() + 1, now_ms);
        let least_ms = self.scene.min_pass_ms;
        if next_ms - least_ms <= (self.scene.pause_ms - least_ms) * part {
            Decision::Admitted
        } else {
            Decision::Refused(Millis(HEEDED_MS))
        }
    }

    fn refuse(&mut self, request: Request, after: Millis, now_ms: u64) {
        if request.came_back {
            self.outcome.refused += 1;
            return;
        }
        self.due.push(Reverse((now_ms + after.0.clamp(STEP_MS, HEEDED_MS), self.returning.len())));
        self.returning.push(request);
    }

    /// The group with the fewest streams of those that make passes.
    fn open_group(&self, now_ms: u64) -> Option<usize> {
        let open = (0..self.groups.len()).filter(|group| !self.stands_still(*group, now_ms));
        open.min_by_key(|group| self.groups[*group].streams())
    }

    fn stands_still(&self, group: usize, now_ms: u64) -> bool {
        group == 0 && self.scene.halts.iter().any(|halt| halt.holds(now_ms))
    }

    fn begin(&mut self, gateway: usize, request: Request, now_ms: u64) {
        let Some(group) = self.open_group(now_ms) else {
            return self.refuse(request, Millis(HEEDED_MS), now_ms);
        };
        self.admissions[gateway].began();
        let stream = Stream {
            request,
            gateway,
            entered_ms: now_ms,
            left: request.events,
            begun: false,
            in_time: !request.came_back,
        };
        let ranks = &mut self.groups[group].ranks;
        let rank = ranks.iter_mut().min_by_key(|rank| rank.running.len() + rank.waiting.len());
        if let Some(rank) = rank {
            rank.waiting.push(stream);
        }
    }

    /// Lets in those that wait at gateways, as far as there is room or their time is over.
    fn let_in(&mut self, now_ms: u64) {
        let owed = self.owed();
        for gateway in 0..self.waiting.len() {
            self.waiting[gateway].sort_by_key(|(request, _)| Reverse(request.asked_ms));
            while let Some((request, until)) = self.waiting[gateway].last().copied() {
                if until > now_ms && !self.admissions[gateway].has_room(owed, Millis(now_ms)) {
                    break;
                }
                self.waiting[gateway].pop();
                self.admissions[gateway].wait_ended();
                self.begin(gateway, request, now_ms);
            }
        }
    }

    fn pass_ms(&self, group: usize, streams: usize, now_ms: u64) -> f64 {
        let scene = self.scene;
        let shifted = now_ms % scene.shift_every_ms < 500;
        let skew = if shifted { scene.skew_after_shift } else { scene.skew };
        let busiest = self.groups[group].ranks.iter().map(|rank| rank.running.len()).max();
        let even = streams as f64 / scene.ranks as f64;
        let own = scene.own_ms * (busiest.unwrap_or_default() as f64).max(even);
        scene.min_pass_ms + own + scene.experts_ms * even * skew
    }

    fn step(&mut self, group: usize, now_ms: u64) {
        if let Some((ends_ms, length_ms)) = self.groups[group].pass
            && ends_ms <= now_ms
        {
            self.groups[group].pass = None;
            self.end_pass(group, length_ms, now_ms);
        }
        self.leave(group, now_ms);
        if self.groups[group].pass.is_some() || self.stands_still(group, now_ms) {
            return;
        }
        let slots = self.scene.slots;
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

    /// Every stream that runs gets an event.
    fn end_pass(&mut self, group: usize, length_ms: f64, now_ms: u64) {
        self.passes += 1;
        self.outcome.pass_ms += length_ms;
        let is_long = length_ms > self.scene.pause_ms;
        if is_long {
            self.outcome.last_long_ms = now_ms;
        }
        let (first_ms, now) = (self.scene.first_ms, Millis(now_ms));
        for rank in &mut self.groups[group].ranks {
            for stream in &mut rank.running {
                let admission = &mut self.admissions[stream.gateway];
                if stream.begun {
                    stream.in_time &= !is_long;
                    admission.record_pass(length_ms, now);
                } else {
                    stream.begun = true;
                    stream.in_time &= now_ms - stream.request.asked_ms <= first_ms;
                    admission.record_first_event((now_ms - stream.entered_ms) as f64);
                }
                stream.left -= 1;
                if stream.left == 0 {
                    admission.ended(Some((now_ms - stream.entered_ms) as f64));
                    self.outcome.in_time += u32::from(stream.in_time);
                    self.outcome.late += u32::from(!stream.in_time);
                }
            }
            rank.running.retain(|stream| stream.left > 0);
        }
    }

    /// Callers whose streams have not begun leave after a while, and come back once.
    fn leave(&mut self, group: usize, now_ms: u64) {
        let mut gone = Vec::new();
        for rank in &mut self.groups[group].ranks {
            for streams in [&mut rank.running, &mut rank.waiting] {
                streams.retain(|stream| {
                    let stays = stream.begun || now_ms - stream.request.tried_ms < PATIENCE_MS;
                    if !stays {
                        gone.push(*stream);
                    }
                    stays
                });
            }
        }
        for stream in gone {
            self.admissions[stream.gateway].ended(None);
            if stream.request.came_back {
                self.outcome.left += 1;
            } else {
                self.refuse(stream.request, Millis(STEP_MS), now_ms);
            }
        }
    }
}
