//! Servers that crash, and which requests were there: found out, told to all, and acted on.
//!
//! An answer that breaks off may have been spoilt on its way, and one that stays away may come later. So a
//! server counts as crashed only if it refuses a connection just then, or the platform ceases to list it soon after,
//! though it was not leaving.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::Cleared;
use hooktrestle_core::direct::crashes::Crash;
use hooktrestle_core::direct::crashes::Crashes;
use hooktrestle_core::direct::crashes::MergeOutcome;
use hooktrestle_core::direct::crashes::Quarantine;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::crashes::Stage;
use hooktrestle_core::direct::crashes::Suspect;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::permits::Grant;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::truncated_answers::TruncatedAnswers;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::Cause;
use tokio::time;

use crate::connections::Connection;
use crate::gateway::Gateway;
use crate::gateway::findings::Reach;
use crate::permits;
use crate::permits::Wanted;
use crate::platform::KeptCrashes;
use crate::platform::Platform;

/// Longest wait until others were told: some rounds of news, of a few milliseconds each.
const MOST_TELLING: Duration = Duration::from_millis(50);

/// When a caller shall come back whose request is out for another one, and time between two trials at different
/// gateways: the users' streams last 1 to 2 s.
pub(crate) const TRIAL: Millis = Millis(1_500);

/// How far a request came at a server, and when.
#[derive(Clone, Copy, Debug)]
pub enum Progress {
    /// It was sent, and no answer began.
    Sent(Millis),
    /// An answer began, and nothing more came.
    Starting(Millis),
    /// More of an answer came.
    Running(Millis),
}

impl Progress {
    fn suspect(self, fingerprint: Fingerprint, now: Millis) -> Suspect {
        let (at, stage) = match self {
            Progress::Sent(at) => (at, Stage::Waiting),
            Progress::Starting(at) => (at, Stage::Starting),
            Progress::Running(at) => (at, Stage::Running),
        };
        Suspect { fingerprint, ran: now.since(at), stage }
    }
}

/// Whether a server has crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Finding {
    /// A connection was taken, or neither taken nor refused.
    Open,
    /// It was refused.
    Crashed,
}

/// A server at which answers broke off.
#[derive(Debug)]
struct Broken {
    answers: TruncatedAnswers,
    finding: Finding,
    /// Whether it is being found out.
    is_asked: bool,
}

/// A request that is tried again after a server crashed as it began there, until this is dropped.
pub struct Trial<P: Platform> {
    gateway: Rc<Gateway<P>>,
    fingerprint: Fingerprint,
}

impl<P: Platform> Drop for Trial<P> {
    fn drop(&mut self) {
        self.gateway.found.borrow_mut().on_trial.remove(&self.fingerprint);
    }
}

/// What this gateway has found out itself; what all know is in [`Crashes`].
#[derive(Default)]
pub(super) struct Found {
    broken: HashMap<Key<Server>, Broken>,
    /// Requests that were at a crash here: this gateway has them kept on the platform.
    own: BTreeSet<Fingerprint>,
    /// Requests that are tried one at a time, and are out.
    on_trial: BTreeSet<Fingerprint>,
    /// Requests that are refused, as far as that was logged.
    told: BTreeSet<Fingerprint>,
    /// Whether it was tried to read what the platform keeps.
    pub(super) is_read: bool,
}

impl<P: Platform> Gateway<P> {
    /// Why a request is sent to no server, and for how much longer, if it is not: servers crash under it, or one did
    /// just as it began there.
    pub fn turns_away(&self, fingerprint: Fingerprint) -> Option<(Cause, Millis)> {
        let now = self.now();
        let crashes = self.crashes.borrow();
        if let Some(left) = crashes.refused_for(fingerprint, now) {
            return Some((Cause::CrashesServers, left));
        }
        let Quarantine::HeldBack(left) = crashes.quarantine(fingerprint, now) else { return None };
        Some((Cause::CrashSuspect, left))
    }

    /// Begins a request, which may be one that is tried again.
    ///
    /// # Errors
    ///
    /// It is turned away, or tried one at a time, and another one is out: why, and for how much longer.
    pub async fn begin(
        self: &Rc<Self>,
        fingerprint: Fingerprint,
    ) -> Result<Option<Trial<P>>, (Cause, Millis)> {
        if let Some(turned_away) = self.turns_away(fingerprint) {
            return Err(turned_away);
        }
        if self.crashes.borrow().quarantine(fingerprint, self.now()) != Quarantine::OneAtATime {
            return Ok(None);
        }
        if !self.found.borrow_mut().on_trial.insert(fingerprint) {
            return Err((Cause::CrashSuspect, TRIAL));
        }
        let trial = Trial { gateway: self.clone(), fingerprint };
        // Where nobody answers, this gateway alone can be held to one at a time.
        match permits::ask(self, Wanted::Trial(fingerprint)).await {
            Some(Grant { permits: 0, retry_in }) => Err((Cause::CrashSuspect, retry_in)),
            Some(_) | None => Ok(Some(trial)),
        }
    }

    /// Waits until other gateways had time to hear what cannot wait, as far as that takes no longer than a caller
    /// takes to notice that its answer broke off and to come again elsewhere.
    pub async fn until_told(&self) {
        // In vain where others cannot be reached.
        drop(time::timeout(MOST_TELLING, self.told.notified()).await);
    }

    /// A request has had no whole answer of a server. Whether the server has crashed is known at the return where that
    /// decides whether the request may be sent again, else soon.
    pub async fn note_broken(
        self: &Rc<Self>,
        server: Key<Server>,
        fingerprint: Fingerprint,
        progress: Progress,
    ) {
        let now = self.now();
        let suspect = progress.suspect(fingerprint, now);
        let (finding, is_asked) = {
            let mut found = self.found.borrow_mut();
            found.broken.retain(|_, broken| !broken.answers.is_expired(now));
            let broken = found.broken.entry(server).or_insert_with(|| Broken {
                answers: TruncatedAnswers::default(),
                finding: Finding::Open,
                is_asked: false,
            });
            broken.answers.add(suspect, now);
            (broken.finding, broken.is_asked)
        };
        if finding == Finding::Crashed {
            self.report(server);
        } else if suspect.stage == Stage::Starting
            || self.with_crashes(|crashes| crashes.is_one_crash_from_refusal(fingerprint, now))
        {
            self.find_out(server).await;
        } else if !is_asked {
            self.set_asked(server, true);
            let gateway = self.clone();
            tokio::task::spawn_local(async move {
                gateway.find_out(server).await;
                gateway.set_asked(server, false);
            });
        }
    }

    fn set_asked(&self, server: Key<Server>, is_asked: bool) {
        if let Some(broken) = self.found.borrow_mut().broken.get_mut(&server) {
            broken.is_asked = is_asked;
        }
    }

    /// Finds out whether a server has crashed.
    async fn find_out(self: &Rc<Self>, server: Key<Server>) {
        let address = self.with_pool(|pool| pool.server(server).listed.address);
        self.metrics.dialled.inc();
        match Connection::open(server, address).await {
            Ok(connection) => self.connections.keep(connection),
            Err(error) if is_refusal(&error) => self.crashed(server),
            // It may be cut off; what the list says of it decides.
            Err(_) => {}
        }
    }

    /// The list of servers has changed: those that it names no more, and that were not leaving, have
    /// crashed, if answers of theirs broke off.
    pub(super) fn note_unlisted(&self) {
        let now = self.now();
        let gone: Vec<Key<Server>> = {
            let (found, pool) = (self.found.borrow(), self.pool.borrow());
            let open = found.broken.iter().filter(|(key, broken)| {
                let is_gone = !pool.is_present(**key) && !pool.server(**key).is_leaving();
                is_gone && broken.finding == Finding::Open && !broken.answers.is_expired(now)
            });
            open.map(|(key, _)| *key).collect()
        };
        gone.into_iter().for_each(|server| self.crashed(server));
    }

    fn crashed(&self, server: Key<Server>) {
        if let Some(broken) = self.found.borrow_mut().broken.get_mut(&server) {
            if broken.finding == Finding::Open {
                self.metrics.servers_crashed.inc();
            }
            broken.finding = Finding::Crashed;
        }
        self.report(server);
    }

    /// Reports what was at a server that crashed.
    fn report(&self, server: Key<Server>) {
        let (crashed_at, suspects) = {
            let mut found = self.found.borrow_mut();
            let Some(broken) = found.broken.get_mut(&server) else { return };
            let (crashed_at, suspects) = broken.answers.confirm_crash();
            found.own.extend(suspects.iter().map(|suspect| suspect.fingerprint));
            (crashed_at, suspects)
        };
        if suspects.is_empty() {
            return;
        }
        let life = self.with_pool(|pool| {
            let listed = &pool.server(server).listed;
            let count = suspects.len();
            self.journal.state(format_args!("server {} crashed under {count} requests", listed.id));
            ServerIncarnation::of(&listed.id, listed.started_unix_ms)
        });
        let age = self.now().since(crashed_at);
        let reporter = Reporter(self.with_members(|members| members.own().incarnation_id().0));
        self.take_crashes(&[Crash { server: life, reporter, age, suspects }], &[]);
    }

    /// A server has answered what was sent to it at `sent_at`.
    pub fn note_lives(&self, server: Key<Server>, sent_at: Millis) {
        let mut found = self.found.borrow_mut();
        let broken = found.broken.get_mut(&server);
        if let Some(broken) = broken.filter(|broken| broken.finding == Finding::Open) {
            broken.answers.record_answer(sent_at);
        }
    }

    /// A request has had its whole answer.
    pub fn note_well(&self, fingerprint: Fingerprint) {
        let now = self.now();
        let news = self.crashes.borrow_mut().record_completed(fingerprint, now);
        self.act_on(news, now);
    }

    /// Takes what was found here, or what another gateway tells, and hands it on at once if it cannot wait.
    pub fn take_crashes(&self, crashes: &[Crash], cleared: &[Cleared]) {
        let now = self.now();
        let news = {
            let mut known = self.crashes.borrow_mut();
            let of_crashes = crashes.iter().map(|crash| known.record(crash, now)).max();
            let of_cleared = cleared.iter().map(|one| known.clear(*one, now)).max();
            of_crashes.max(of_cleared)
        };
        self.act_on(news.unwrap_or(MergeOutcome::Unchanged), now);
    }

    fn act_on(&self, news: MergeOutcome, now: Millis) {
        if news == MergeOutcome::Unchanged {
            return;
        }
        self.tell_refused(now);
        self.crashes_changed.notify_one();
        if news == MergeOutcome::Urgent {
            self.hand_on(Reach::All);
        }
    }

    /// Logs which requests are refused from now on, or no more.
    fn tell_refused(&self, now: Millis) {
        let refused: BTreeSet<Fingerprint> =
            self.crashes.borrow().refused(now).into_iter().collect();
        self.metrics.crashing_known.set(refused.len() as i64);
        let mut found = self.found.borrow_mut();
        for fingerprint in refused.difference(&found.told) {
            let number = fingerprint.0;
            self.journal.state(format_args!("request {number} is refused: servers crash under it"));
        }
        for fingerprint in found.told.difference(&refused) {
            self.journal.state(format_args!("request {} is refused no more", fingerprint.0));
        }
        found.told = refused;
    }

    /// What the platform keeps of crashes was read, or could not be: callers may be sent here.
    pub fn note_crashes_read(&self) {
        self.found.borrow_mut().is_read = true;
    }

    /// Does something with all that is known of crashes.
    pub fn with_crashes<T>(&self, act: impl FnOnce(&Crashes) -> T) -> T {
        act(&self.crashes.borrow())
    }

    /// Forgets what is too old; returns what was at more than one crash, and at one here.
    pub fn crashes_to_keep(&self) -> Vec<KeptCrashes> {
        let now = self.now();
        self.crashes.borrow_mut().remove_expired(now);
        self.tell_refused(now);
        let crashes = self.crashes.borrow();
        let worth = crashes.repeat_suspects(now);
        let mut found = self.found.borrow_mut();
        found.own.retain(|one| crashes.is_suspect(*one));
        let kept = found
            .own
            .intersection(&worth)
            .map(|one| KeptCrashes { fingerprint: *one, crashes: crashes.crashes_of(*one, now) });
        kept.collect()
    }
}

/// Whether nobody listens there any more.
fn is_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}
