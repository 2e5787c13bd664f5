//! Model of gateways and sidecars with the core's state machines, and links that are lost or late.
//!
//! Events may occur in any order. A record of what really ran is compared with each verdict that a
//! caller receives.

mod links;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hooktrestle_core::attempt;
use hooktrestle_core::attempt::Attempts;
use hooktrestle_core::attempt::Next;
use hooktrestle_core::attempt::RetryPolicy;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::dispatch;
use hooktrestle_core::dispatch::Dispatcher;
use hooktrestle_core::dispatch::Link;
use hooktrestle_core::dispatch::RequestSpec;
use hooktrestle_core::dispatch::RunKey;
use hooktrestle_core::fair_queue::FlowId;
use hooktrestle_core::id::RequestId;
use hooktrestle_core::retry;
use hooktrestle_core::retry::RetryBudget;
use hooktrestle_core::ticket_memory;
use hooktrestle_core::verdict::Refusal;
use hooktrestle_schema::Cause;
use hooktrestle_schema::Ticket;
use hooktrestle_schema::Verdict;

pub const GATEWAYS: usize = 2;
pub const SIDECARS: usize = 2;

/// Number of body frames of a complete answer.
const ANSWER_FRAMES: u64 = 3;

const TICKET_RETENTION: Millis = Millis(400);

/// An event in the model. Numbers select the gateway, sidecar, link or call that is affected.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Call { gateway: usize, kind: u8 },
    CallAgain { gateway: usize, job: usize },
    DeliverUp(usize),
    DeliverDown(usize),
    Cut(usize),
    Reconnect(usize),
    SidecarDetectsLoss(usize),
    Run { sidecar: usize, pick: usize, how: u8 },
    RestartSidecar(usize),
    Leave(usize),
    Stay(usize),
    AdvanceTime(u8),
    Deadline { call: usize },
    CallerGone { call: usize },
}

#[derive(Clone, Debug)]
enum Up {
    Request { id: RequestId, spec: RequestSpec, call: usize },
    Settle { id: RequestId, ticket: Option<Ticket> },
    Cancel(RequestId),
    Ack(RequestId),
}

#[derive(Clone, Debug)]
enum Down {
    Head(RequestId),
    Body { id: RequestId, sequence: u64, last: bool, call: usize },
    Refused { id: RequestId, refusal: Refusal, spent: bool },
    Settled { id: RequestId, verdict: Verdict },
}

/// One link, also after it was lost: its frames may still arrive at the sidecar.
#[derive(Debug)]
struct Wire {
    gateway: usize,
    sidecar: usize,
    actual_incarnation: u64,
    incarnation: u64,
    epoch: u64,
    link: Link,
    up: VecDeque<Up>,
    down: VecDeque<Down>,
    open_at_gateway: bool,
    open_at_sidecar: bool,
}

#[derive(Debug)]
struct Running {
    key: RunKey,
    wire: usize,
    call: usize,
    sent: u64,
    ticket: Option<Ticket>,
}

#[derive(Debug)]
struct Sidecar {
    dispatcher: Dispatcher,
    actual_incarnation: u64,
    /// Incarnation that it reports to others.
    incarnation: u64,
    waiting: BTreeMap<RunKey, (usize, usize, Option<Ticket>)>,
    running: Vec<Running>,
}

/// One HTTP call of a caller.
#[derive(Debug)]
pub struct Call {
    pub job: usize,
    pub gateway: usize,
    attempts: Attempts,
    wire: Option<usize>,
    ticket: Option<Ticket>,
    own_ticket: Option<Ticket>,
    tried: Vec<usize>,
    /// Frames that the caller has received.
    pub got: Vec<(usize, u64)>,
    pub ended: Option<End>,
    /// Number of times that backend servers started it.
    pub started: u32,
    pub finished: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Complete,
    Refused(Refusal),
    Gone,
}

/// Injected flaw, which shows that the check can fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flaw {
    None,
    /// A gateway treats every request as repeatable.
    RetriesAnyError,
    /// A sidecar handles frames of an older link as frames of the newest one.
    IgnoresEpochs,
    /// A restarted sidecar reports its former incarnation.
    KeepsIncarnation,
    /// A gateway forwards frames of any attempt of a request.
    ForwardsAnyAttempt,
}

pub struct World {
    flaw: Flaw,
    now: Millis,
    sidecars: Vec<Sidecar>,
    wires: Vec<Wire>,
    pub calls: Vec<Call>,
    pub jobs: Vec<RetryPolicy>,
    tickets: Vec<Option<Ticket>>,
    budgets: Vec<RetryBudget>,
    nonce: u64,
}

fn sidecar(actual_incarnation: u64, incarnation: u64) -> Sidecar {
    let config = dispatch::Config {
        max_running: 2,
        max_queued: 2,
        tickets: ticket_memory::Config { retention: TICKET_RETENTION, max_tickets: 6 },
        gateway_retention: Millis(1_000),
    };
    let dispatcher = Dispatcher::new(config, incarnation);
    Sidecar {
        dispatcher,
        actual_incarnation,
        incarnation,
        waiting: BTreeMap::new(),
        running: Vec::new(),
    }
}

impl World {
    pub fn new(flaw: Flaw) -> World {
        let budget = RetryBudget::new(retry::Config { percent: 50, max_saved: 50 });
        let mut world = World {
            flaw,
            now: Millis(0),
            sidecars: (0..SIDECARS)
                .map(|index| sidecar(index as u64 + 1, index as u64 + 1))
                .collect(),
            wires: Vec::new(),
            calls: Vec::new(),
            jobs: Vec::new(),
            tickets: Vec::new(),
            budgets: vec![budget; GATEWAYS],
            nonce: 0,
        };
        for pair in 0..GATEWAYS * SIDECARS {
            world.reconnect(pair);
        }
        world
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Call { gateway, kind } => self.call(gateway % GATEWAYS, kind),
            Event::CallAgain { gateway, job } => self.call_again(gateway % GATEWAYS, job),
            Event::DeliverUp(index) => self.deliver_up(index),
            Event::DeliverDown(index) => self.deliver_down(index),
            Event::Cut(index) => self.cut(index),
            Event::Reconnect(pair) => self.reconnect(pair % (GATEWAYS * SIDECARS)),
            Event::SidecarDetectsLoss(index) => self.sidecar_notices(index),
            Event::Run { sidecar, pick, how } => self.run(sidecar % SIDECARS, pick, how),
            Event::RestartSidecar(index) => self.restart(index % SIDECARS),
            Event::Leave(index) => self.start_leaving(index % SIDECARS),
            Event::Stay(index) => self.sidecars[index % SIDECARS].dispatcher.stop_leaving(),
            Event::AdvanceTime(ms) => self.pass(u64::from(ms)),
            Event::Deadline { call } => self.deadline(call),
            Event::CallerGone { call } => self.caller_gone(call),
        }
    }

    /// Checks the invariants; `Err` names the one that is violated.
    pub fn check(&self) -> Result<(), String> {
        for (index, call) in self.calls.iter().enumerate() {
            if let Some(End::Refused(refusal)) = call.ended
                && refusal.verdict == Verdict::NotRun
                && call.started > 0
            {
                return Err(format!("call {index} received {refusal:?}, and ran"));
            }
            if self.jobs[call.job] != RetryPolicy::Unrestricted && call.started > 1 {
                return Err(format!("call {index} is not repeatable and ran {}x", call.started));
            }
            let frames: Vec<u64> = call.got.iter().map(|(_, sequence)| *sequence).collect();
            let in_order = frames.iter().enumerate().all(|(at, found)| at as u64 == *found);
            let own = call.got.iter().all(|(of, _)| *of == index);
            if !in_order || !own {
                return Err(format!("call {index} received frames {:?}", call.got));
            }
            let whole = frames.len() as u64 == ANSWER_FRAMES;
            if call.ended == Some(End::Complete) && !whole {
                return Err(format!("call {index} ended as complete after {frames:?}"));
            }
        }
        for (job, retry_policy) in self.jobs.iter().enumerate() {
            let calls = self.calls.iter().filter(|call| call.job == job);
            let started: u32 = calls.map(|call| call.started).sum();
            if *retry_policy == RetryPolicy::Never && started > 1 {
                return Err(format!("job {job} has one key and ran {started}x"));
            }
        }
        Ok(())
    }

    fn call(&mut self, gateway: usize, kind: u8) {
        let retry_policy = match kind % 3 {
            0 => RetryPolicy::Unrestricted,
            1 => RetryPolicy::WithNewTicket,
            _ => RetryPolicy::Never,
        };
        let own_ticket = match retry_policy {
            RetryPolicy::Never => Some(self.issue_ticket(usize::from(kind) % SIDECARS)),
            _ => None,
        };
        self.jobs.push(retry_policy);
        self.tickets.push(own_ticket);
        self.start(gateway, self.jobs.len() - 1);
    }

    fn call_again(&mut self, gateway: usize, job: usize) {
        if self.jobs.is_empty() {
            return;
        }
        let job = job % self.jobs.len();
        if self.jobs[job] == RetryPolicy::Never {
            self.start(gateway, job);
        }
    }

    fn start(&mut self, gateway: usize, job: usize) {
        let retry_policy = match self.flaw {
            Flaw::RetriesAnyError => RetryPolicy::Unrestricted,
            _ => self.jobs[job],
        };
        let number = self.calls.len() as u64;
        let config = attempt::Config { number, retry_policy, max_attempts: 1 + number as u32 % 3 };
        self.calls.push(Call {
            job,
            gateway,
            attempts: Attempts::new(config),
            wire: None,
            ticket: None,
            own_ticket: self.tickets[job].clone(),
            tried: Vec::new(),
            got: Vec::new(),
            ended: None,
            started: 0,
            finished: 0,
        });
        let call = self.calls.len() - 1;
        let id = self.calls[call].attempts.id();
        self.apply_next(call, Next::Send(id));
    }

    fn issue_ticket(&mut self, sidecar: usize) -> Ticket {
        self.nonce += 1;
        Ticket {
            sidecar: sidecar.to_string(),
            incarnation: self.sidecars[sidecar].incarnation,
            issued_at_ms: self.now.0,
            nonce: self.nonce,
        }
    }

    fn apply_next(&mut self, call: usize, next: Next) {
        match next {
            Next::Send(id) => self.send(call, id),
            Next::Settle(_) | Next::Forward | Next::Ignore => {}
            Next::ForwardLast => {
                self.calls[call].ended = Some(End::Complete);
                self.send_frame(call, Up::Ack(self.calls[call].attempts.id()));
            }
            Next::Finish(refusal) => {
                self.calls[call].ended = Some(End::Refused(refusal));
                let id = self.calls[call].attempts.id();
                let up = match refusal.verdict {
                    Verdict::NotRun => Up::Ack(id),
                    _ => Up::Cancel(id),
                };
                self.send_frame(call, up);
            }
        }
    }

    fn send_frame(&mut self, call: usize, up: Up) {
        if let Some(wire) = self.calls[call].wire
            && self.wires[wire].open_at_gateway
        {
            self.wires[wire].up.push_back(up);
        }
    }

    fn send(&mut self, call: usize, id: RequestId) {
        let gateway = self.calls[call].gateway;
        let chosen = self.wires.iter().position(|wire| {
            let is_eligible = match &self.calls[call].own_ticket {
                Some(ticket) => ticket.sidecar == wire.sidecar.to_string(),
                None => !self.calls[call].tried.contains(&wire.sidecar),
            };
            wire.open_at_gateway && wire.gateway == gateway && is_eligible
        });
        let Some(wire) = chosen else {
            let refusal = match self.jobs[self.calls[call].job] {
                RetryPolicy::Never => Refusal::may_have_run(Cause::NoBackendServer),
                _ => attempt::no_backend_server(Millis(1)),
            };
            let next = self.calls[call].attempts.not_routed(refusal);
            return self.apply_next(call, next);
        };
        let sidecar = self.wires[wire].sidecar;
        let ticket = match self.jobs[self.calls[call].job] {
            RetryPolicy::Unrestricted => None,
            RetryPolicy::WithNewTicket => Some(self.issue_ticket(sidecar)),
            RetryPolicy::Never => self.calls[call].own_ticket.clone(),
        };
        let spec = RequestSpec {
            flow: FlowId(self.calls[call].job as u64 % 3),
            weight: 1,
            cost_tokens: 1,
            priority: 0,
            deadline_in: Millis(300),
            ticket: ticket.clone(),
        };
        self.wires[wire].up.push_back(Up::Request { id, spec, call });
        let call = &mut self.calls[call];
        call.tried.push(sidecar);
        call.wire = Some(wire);
        call.ticket = ticket;
        call.attempts.sent();
    }

    /// Starts and expires requests at a sidecar until its dispatcher is idle.
    fn pump(&mut self, sidecar: usize) {
        loop {
            match self.sidecars[sidecar].dispatcher.next(self.now) {
                dispatch::Next::Start(key) => {
                    let waiting = self.sidecars[sidecar].waiting.remove(&key);
                    let (wire, call, ticket) = waiting.expect("a started request was queued");
                    let running = Running { key, wire, call, sent: 0, ticket };
                    self.sidecars[sidecar].running.push(running);
                }
                dispatch::Next::Expire(key) => {
                    self.refuse(sidecar, key, Refusal::not_run(Cause::DeadlinePassed));
                }
                dispatch::Next::Idle(_) => return,
            }
        }
    }

    fn refuse(&mut self, sidecar: usize, key: RunKey, refusal: Refusal) {
        if let Some((wire, _, ticket)) = self.sidecars[sidecar].waiting.remove(&key) {
            let spent = ticket.is_some();
            self.wires[wire].down.push_back(Down::Refused { id: key.id, refusal, spent });
        }
    }

    fn abort(&mut self, sidecar: usize, key: RunKey) {
        self.sidecars[sidecar].running.retain(|running| running.key != key);
        self.sidecars[sidecar].dispatcher.finished(self.now, key);
    }

    /// The backend server sends a part of an answer, refuses the request, or fails.
    fn run(&mut self, sidecar: usize, pick: usize, how: u8) {
        let count = self.sidecars[sidecar].running.len();
        if count == 0 {
            return;
        }
        let at = pick % count;
        let now = self.now;
        let running = &mut self.sidecars[sidecar].running[at];
        let (key, wire, call, sent) = (running.key, running.wire, running.call, running.sent);
        let ticket = running.ticket.clone();
        if sent == 0 && how.is_multiple_of(5) {
            self.sidecars[sidecar].running.remove(at);
            self.sidecars[sidecar].dispatcher.not_started(now, key, ticket.as_ref());
            let refusal = Refusal::not_run(Cause::BackendRefused);
            let spent = ticket.is_some();
            self.wires[wire].down.push_back(Down::Refused { id: key.id, refusal, spent });
            return self.pump(sidecar);
        }
        if sent == 0 {
            self.calls[call].started += 1;
            self.wires[wire].down.push_back(Down::Head(key.id));
        }
        if how % 5 == 1 {
            self.sidecars[sidecar].running.remove(at);
            self.sidecars[sidecar].dispatcher.finished(now, key);
            let refusal = Refusal::ran(Cause::BackendFailed);
            self.wires[wire].down.push_back(Down::Refused { id: key.id, refusal, spent: false });
            return self.pump(sidecar);
        }
        let last = sent + 1 == ANSWER_FRAMES;
        let body = Down::Body { id: key.id, sequence: sent, last, call };
        self.wires[wire].down.push_back(body);
        self.sidecars[sidecar].running[at].sent += 1;
        if last {
            self.calls[call].finished += 1;
            self.sidecars[sidecar].running.remove(at);
            self.sidecars[sidecar].dispatcher.finished(now, key);
            self.pump(sidecar);
        }
    }

    fn restart(&mut self, index: usize) {
        let actual_incarnation =
            self.sidecars.iter().map(|sidecar| sidecar.actual_incarnation).max().unwrap_or(0) + 1;
        let incarnation = match self.flaw {
            Flaw::KeepsIncarnation => self.sidecars[index].incarnation,
            _ => actual_incarnation,
        };
        self.sidecars[index] = sidecar(actual_incarnation, incarnation);
        for wire in 0..self.wires.len() {
            if self.wires[wire].sidecar == index && self.wires[wire].open_at_gateway {
                self.lose_link(wire);
            }
        }
    }

    fn start_leaving(&mut self, sidecar: usize) {
        let now = self.now;
        for key in self.sidecars[sidecar].dispatcher.start_leaving(now) {
            self.refuse(sidecar, key, Refusal::not_run(Cause::Leaving));
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + Millis(ms);
        for sidecar in 0..SIDECARS {
            self.sidecars[sidecar].dispatcher.evict_unlinked(self.now);
            self.pump(sidecar);
        }
    }

    fn deadline(&mut self, call: usize) {
        if let Some(call) = self.pick_call(call) {
            let next = self.calls[call].attempts.deadline();
            self.apply_next(call, next);
        }
    }

    fn caller_gone(&mut self, call: usize) {
        if let Some(call) = self.pick_call(call) {
            self.calls[call].ended = Some(End::Gone);
            self.send_frame(call, Up::Cancel(self.calls[call].attempts.id()));
            // The attempts end with the call.
            self.calls[call].attempts.deadline();
        }
    }

    fn pick_call(&self, index: usize) -> Option<usize> {
        let open: Vec<usize> =
            (0..self.calls.len()).filter(|call| self.calls[*call].ended.is_none()).collect();
        if open.is_empty() { None } else { Some(open[index % open.len()]) }
    }

    fn pick_wire(&self, index: usize, fits: impl Fn(&Wire) -> bool) -> Option<usize> {
        let fitting: Vec<usize> =
            (0..self.wires.len()).filter(|wire| fits(&self.wires[*wire])).collect();
        if fitting.is_empty() { None } else { Some(fitting[index % fitting.len()]) }
    }
}
