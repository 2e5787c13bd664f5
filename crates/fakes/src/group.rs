//! Stand-in of a group of ranks in lock-step. Input: map orders and the popularity of experts.
//! State: the map of each rank, token counts and steps. It checks in every step that all ranks use
//! the same map and that each expert is on a rank.
//!
//! Each rank stores the fencing token of its orders, as an engine does that checks their sender.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hooktrestle_core::map_switch::Gate;
use hooktrestle_core::map_switch::MapId;
use hooktrestle_core::map_switch::Order;
use hooktrestle_core::map_switch::OrderAction;
use hooktrestle_core::map_switch::Rank;
use hooktrestle_core::map_switch::wire;
use hooktrestle_core::placement::Layout;
use hooktrestle_schema::ExpertCounts;
use hooktrestle_schema::MapOrder;
use hooktrestle_schema::MapOrderKind;
use hooktrestle_schema::MapReply;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Tokens in one step of the whole group.
const TOKENS_PER_STEP: f64 = 4_096.0;

/// Interval at which the group runs or holds a step.
const STEP: Duration = Duration::from_millis(1);

#[derive(Debug)]
struct Member {
    rank: Rank,
    experts: Vec<u16>,
    staged: Option<(MapId, Vec<u16>)>,
    fails_loads: bool,
}

/// Steps and faults of a group since its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Steps {
    /// Steps that ran.
    pub run: u64,
    /// Intervals without a step, because a rank held it.
    pub held: u64,
    /// The map in use.
    pub map_version: u64,
    /// Steps in which ranks used different maps, or an expert was on no rank.
    pub faults: Vec<String>,
}

#[derive(Debug)]
struct State {
    members: Vec<Member>,
    popularity: Vec<f64>,
    tokens: Vec<f64>,
    steps: Steps,
}

/// Handle of a group, which steps until the last handle is dropped.
#[derive(Clone, Debug)]
pub struct FakeGroup {
    state: Arc<Mutex<State>>,
    steps: watch::Sender<Steps>,
    _stepping: Arc<Stepping>,
}

#[derive(Debug)]
struct Stepping(AbortHandle);

impl Drop for Stepping {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl FakeGroup {
    /// Starts a group with round-robin placement.
    ///
    /// # Panics
    ///
    /// As [`Layout::round_robin`].
    pub fn start(ranks: usize, experts: usize, slots_per_rank: usize) -> FakeGroup {
        let layout = Layout::round_robin(experts, ranks, slots_per_rank);
        let on = |rank| {
            let experts = layout.on(hooktrestle_core::placement::Rank(rank as u16));
            experts.iter().map(|expert| expert.0).collect()
        };
        let member = |rank| Member {
            rank: Rank::new(MapId::default()),
            experts: on(rank),
            staged: None,
            fails_loads: false,
        };
        let state = Arc::new(Mutex::new(State {
            members: (0..ranks).map(member).collect(),
            popularity: vec![1.0 / experts as f64; experts],
            tokens: vec![0.0; experts],
            steps: Steps::default(),
        }));
        let steps = watch::Sender::new(Steps::default());
        let task = tokio::spawn(step(Arc::clone(&state), steps.clone())).abort_handle();
        FakeGroup { state, steps, _stepping: Arc::new(Stepping(task)) }
    }

    /// Sets the share of tokens of each expert from now on.
    pub fn set_popularity(&self, shares: Vec<f64>) {
        lock(&self.state).popularity = shares;
    }

    /// Sets whether weight loads of a rank fail from now on.
    pub fn set_fails_loads(&self, rank: usize, fails: bool) {
        lock(&self.state).members[rank].fails_loads = fails;
    }

    /// Steps and faults of the group, updated in each interval.
    pub fn watch(&self) -> watch::Receiver<Steps> {
        self.steps.subscribe()
    }

    /// The experts on each rank, in the map in use.
    pub fn experts(&self) -> Vec<Vec<u16>> {
        lock(&self.state).members.iter().map(|member| member.experts.clone()).collect()
    }

    /// Applies an order to one rank; returns its reply.
    pub fn order(&self, rank: usize, order: &MapOrder) -> MapReply {
        let mut state = lock(&self.state);
        let member = &mut state.members[rank];
        let reply = match member.rank.order(Order::from(order)) {
            OrderAction::Answer(reply) => Some(reply),
            OrderAction::Silent => None,
            OrderAction::Load(map) => {
                if let MapOrderKind::Stage(stage) = &order.kind {
                    member.staged = Some((map, stage.experts.clone()));
                }
                let succeeded = !member.fails_loads;
                member.rank.loaded(map, succeeded)
            }
        };
        let decided = member.rank.state().armed.filter(|armed| armed.committed);
        let experts = match (&member.staged, decided) {
            (Some((map, experts)), Some(armed)) if *map == armed.map => experts,
            _ => &member.experts,
        };
        reply.map_or(MapReply::Silent, |reply| wire::reply(reply, experts))
    }

    /// Tokens of each expert so far.
    pub fn counts(&self) -> ExpertCounts {
        let state = lock(&self.state);
        ExpertCounts { step_number: state.steps.run, tokens: state.tokens.clone() }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn step(state: Arc<Mutex<State>>, published: watch::Sender<Steps>) {
    loop {
        tokio::time::sleep(STEP).await;
        let steps = {
            let mut state = lock(&state);
            state.step();
            state.steps.clone()
        };
        published.send_replace(steps);
    }
}

impl State {
    fn step(&mut self) {
        if self.members.iter().any(|member| member.rank.gate() == Gate::Hold) {
            self.steps.held += 1;
            return;
        }
        let maps: Vec<MapId> = self.members.iter_mut().map(Member::step).collect();
        if maps.iter().any(|map| *map != maps[0]) {
            self.steps.faults.push(format!("step {}: {maps:?}", self.steps.run));
        }
        let is_placed =
            |expert: u16| self.members.iter().any(|member| member.experts.contains(&expert));
        if let Some(missing) = (0..self.tokens.len()).find(|expert| !is_placed(*expert as u16)) {
            self.steps.faults.push(format!("step {}: expert {missing} on no rank", self.steps.run));
        }
        self.steps.map_version = maps[0].version;
        self.steps.run += 1;
        let counts = self.tokens.iter_mut().zip(&self.popularity);
        counts.for_each(|(count, share)| *count += share * TOKENS_PER_STEP);
    }
}

impl Member {
    fn step(&mut self) -> MapId {
        let map = self.rank.begin_step();
        if let Some((_, experts)) = self.staged.take_if(|(staged, _)| *staged == map) {
            self.experts = experts;
        }
        map
    }
}
