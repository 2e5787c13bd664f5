//! Detection of crashed servers, from truncated answers, refused connections and the server list.
//! It keeps truncated answers by server, trials, and all crashes known here or from peers.
//! It decides which servers crashed, and which requests are refused, held back or on trial.
//!
//! A truncated answer may have been damaged by the network, and a missing one may arrive later. So
//! a server counts as crashed only if it refuses a connection right afterwards, or if the platform
//! stops listing it soon after although it was not leaving. A server that is leaving by then, or that has
//! served on without a row, ends as planned: what it breaks off shows nothing about its requests.

mod endings;
mod log;
mod unconfirmed;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::io;
use std::iter;
use std::rc::Rc;
use std::time::Duration;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::attempts::RETRY_AFTER_NO_SERVER;
use hooktrestle_core::direct::crashes::Cleared;
use hooktrestle_core::direct::crashes::Crash;
use hooktrestle_core::direct::crashes::Crashes;
use hooktrestle_core::direct::crashes::EndingCount;
use hooktrestle_core::direct::crashes::Extent;
use hooktrestle_core::direct::crashes::MergeOutcome;
use hooktrestle_core::direct::crashes::Quarantine;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::crashes::ServiceNumber;
use hooktrestle_core::direct::crashes::Stage;
use hooktrestle_core::direct::crashes::Suspect;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::fingerprint::FingerprintKind;
use hooktrestle_core::direct::fingerprint::Fingerprints;
use hooktrestle_core::direct::permits::Grant;
use hooktrestle_core::direct::permits::TrialPace;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::truncated_answers::TruncatedAnswers;
use hooktrestle_core::direct::unconfirmed_endings::UnconfirmedEndings;
use hooktrestle_core::util::arena::Key;
use hooktrestle_schema::Cause;
use tokio::time;

use self::log::LoggedRestrictions;
use self::unconfirmed::HeldRow;
use crate::connections::Connection;
use crate::gateway::Gateway;
use crate::gateway::slow_servers::Reach;
use crate::permits;
use crate::permits::PermitRequest;
use crate::platform::CrashRowKey;
use crate::platform::Platform;
use crate::platform::StoredCrashes;
use crate::request::Request;

/// Longest wait until urgent gossip was sent: a few gossip rounds of some milliseconds each.
const URGENT_GOSSIP_TIMEOUT: Duration = Duration::from_millis(50);

/// Time from a probe that is accepted to the next one, if an answer was just beginning.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(150);

/// When a caller is to retry whose request is on trial for another caller, and the interval between
/// two trials at different gateways: streams last 1 to 2 s.
const TRIAL_INTERVAL: Millis = Millis(1_500);

/// The same for a suspect that crashes servers only sometimes: most of its trials end well, and tell
/// little.
const COINCIDENT_TRIAL_INTERVAL: Millis = Millis(6_000);

/// How far a request got at a server, and when.
#[derive(Clone, Copy, Debug)]
pub enum Progress {
    /// It was sent, and no answer began.
    Sent(Millis),
    /// An answer began, and no complete event followed.
    Starting(Millis),
    /// An answer began, and content followed: a complete event, if it is a stream.
    Running(Millis),
}

impl Progress {
    fn parts(self) -> (Millis, Stage) {
        match self {
            Progress::Sent(at) => (at, Stage::Waiting),
            Progress::Starting(at) => (at, Stage::Starting),
            Progress::Running(at) => (at, Stage::Running),
        }
    }

    /// What was at a server whose answer was truncated now.
    fn suspects(self, fingerprints: &Fingerprints, now: Millis) -> impl Iterator<Item = Suspect> {
        let (at, stage) = self.parts();
        let ran = now.since(at);
        fingerprints.iter().map(move |fingerprint| Suspect { fingerprint, ran, stage })
    }

    fn extent(self, now: Millis) -> Extent {
        let (at, stage) = self.parts();
        Extent::Ended(stage, now.since(at))
    }
}

/// Whether the end of an answer shows that it is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// It does.
    Confirmed,
    /// Only its connection delimits the answer. The answer is complete if its server did not crash
    /// then, which a later answer of the server shows.
    Unconfirmed,
}

/// Whether a server has crashed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum CrashStatus {
    /// A connection was accepted, or neither accepted nor refused.
    #[default]
    Unconfirmed,
    /// A connection was refused, or the platform stopped listing the server.
    Confirmed,
}

/// What a server does with a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reachability {
    /// It accepts the connection.
    Accepts,
    /// No process listens at its address.
    Refuses,
    /// Neither in time: it may be unreachable from here.
    Unknown,
}

/// Truncated answers of one server.
#[derive(Debug, Default)]
struct ServerTruncations {
    answers: TruncatedAnswers,
    status: CrashStatus,
    /// Whether a probe of the server is running.
    is_probing: bool,
    /// Whether a probe was accepted. If the server has crashed all the same, its address accepts
    /// connections without it, behind a proxy for instance.
    was_accepted: bool,
}

/// A trial of a request that began at a server just as the server crashed, or of a part of prompts:
/// all gateways together send such a request to one server at a time. The trial ends when this value
/// is dropped.
pub struct Trial<P: Platform> {
    gateway: Rc<Gateway<P>>,
    fingerprint: Fingerprint,
}

impl<P: Platform> Drop for Trial<P> {
    fn drop(&mut self) {
        self.gateway.crash_detection.borrow_mut().on_trial.remove(&self.fingerprint);
    }
}

/// Crash detection of this gateway; what all gateways know is in [`Crashes`].
#[derive(Default)]
pub(super) struct CrashDetection {
    truncations: HashMap<Key<Server>, ServerTruncations>,
    /// Attempts that ended without an answer, at servers that have not answered since.
    unconfirmed: HashMap<Key<Server>, UnconfirmedEndings>,
    /// Requests that were at a crash which this gateway detected. This gateway stores them on the
    /// platform.
    own: BTreeSet<Fingerprint>,
    /// Requests on trial that are in flight.
    on_trial: BTreeSet<Fingerprint>,
    /// Restrictions that were logged.
    logged: LoggedRestrictions,
    /// Stored rows of earlier processes, with crashes that are not confirmed.
    held: Vec<HeldRow>,
    /// Whether this gateway has tried to read the crashes that the platform stores.
    pub(super) stored_crashes_read: bool,
}

impl CrashDetection {
    fn is_known_crashed(&self, server: Key<Server>) -> bool {
        let truncations = self.truncations.get(&server);
        truncations.is_some_and(|one| one.status == CrashStatus::Confirmed)
    }
}

impl<P: Platform> Gateway<P> {
    /// Why a request is not sent to any server and for how much longer, if that is so: servers
    /// crashed while running it or others with a part of its prompt, or one did just as the request
    /// began there.
    pub fn crash_refusal(&self, fingerprints: &Fingerprints) -> Option<(Cause, Millis)> {
        let now = self.now();
        let crashes = self.crashes.borrow();
        if let Some(left) = crashes.refusal(fingerprints, now) {
            return Some((Cause::CrashesServers, left));
        }
        let held = fingerprints.iter().filter_map(|one| match crashes.quarantine(one, now) {
            Quarantine::HeldBack(left) => Some(left),
            Quarantine::Free | Quarantine::OneAtATime => None,
        });
        held.max().map(|left| (Cause::CrashSuspect, left))
    }

    /// Begins a request; returns its trials if it, or requests with a part of its prompt, are to be
    /// sent one at a time.
    ///
    /// # Errors
    ///
    /// The request is refused or held back, or it is on trial and another trial is in flight or no
    /// server is available: the cause, and for how much longer.
    pub async fn begin_trials_if_suspect(
        self: &Rc<Self>,
        request: &Request<P>,
    ) -> Result<Vec<Trial<P>>, (Cause, Millis)> {
        if let Some(refusal) = self.crash_refusal(&request.fingerprints) {
            return Err(refusal);
        }
        let mut trials = Vec::new();
        let Fingerprints { whole, parts } = &request.fingerprints;
        // A trial of a part that most requests share is not to be spent on a request that another part
        // keeps from being sent: such a part is at the end of a prompt rather than at its beginning.
        for fingerprint in iter::once(*whole).chain(parts.iter().rev().copied()) {
            let now = self.now();
            let quarantine = self.with_crashes(|crashes| crashes.quarantine(fingerprint, now));
            if quarantine != Quarantine::OneAtATime {
                continue;
            }
            // A trial that no server can take would only delay the next one.
            if !self.with_pool(|pool| pool.has_available(&request.demand(&[]), now)) {
                let after = self.outage_retry_after(&request.service, request.deadline);
                return Err((Cause::NoBackendServer, after.unwrap_or(RETRY_AFTER_NO_SERVER)));
            }
            trials.push(self.begin_trial(fingerprint).await?);
        }
        Ok(trials)
    }

    /// Time between two trials of a suspect. Once it was at enough crashes to be known, few further
    /// requests may reach servers.
    pub(crate) fn trial_pace(&self, suspect: Fingerprint) -> TrialPace {
        let now = self.now();
        self.with_crashes(|crashes| match crashes.is_known(suspect, now) {
            true if crashes.is_coincident(suspect) => TrialPace::Slowing(COINCIDENT_TRIAL_INTERVAL),
            true => TrialPace::Slowing(TRIAL_INTERVAL),
            false => TrialPace::Constant(TRIAL_INTERVAL),
        })
    }

    async fn begin_trial(
        self: &Rc<Self>,
        fingerprint: Fingerprint,
    ) -> Result<Trial<P>, (Cause, Millis)> {
        if !self.crash_detection.borrow_mut().on_trial.insert(fingerprint) {
            return Err((Cause::CrashSuspect, TRIAL_INTERVAL));
        }
        let trial = Trial { gateway: self.clone(), fingerprint };
        // Without a reply this gateway can only limit its own trials to one at a time.
        match permits::request_permits(self, PermitRequest::Trial(fingerprint)).await {
            Some(Grant { permits: 0, retry_in }) => Err((Cause::CrashSuspect, retry_in)),
            Some(_) | None => Ok(trial),
        }
    }

    /// Waits until urgent gossip had time to reach other gateways. The wait is no longer than a
    /// caller needs to notice a truncated answer and to retry at another gateway.
    pub async fn await_urgent_gossip(&self) {
        // A time-out is ignored: other gateways may be unreachable.
        drop(time::timeout(URGENT_GOSSIP_TIMEOUT, self.urgent_gossip_done.notified()).await);
    }

    /// Records that a server sent no complete answer to a request. On return it is known whether
    /// the server has crashed if that decides whether the request may be sent again, otherwise it
    /// is known soon.
    pub async fn record_truncated_answer(
        self: &Rc<Self>,
        server: Key<Server>,
        fingerprints: &Fingerprints,
        progress: Progress,
    ) {
        let now = self.now();
        let is_starting = matches!(progress, Progress::Starting(_));
        let is_end_planned = self.with_pool(|pool| pool.is_end_planned(server));
        let (status, is_probing) = {
            let mut detection = self.crash_detection.borrow_mut();
            detection.truncations.retain(|_, truncations| !truncations.answers.is_expired(now));
            if is_end_planned && !detection.is_known_crashed(server) {
                return;
            }
            let truncations = detection.truncations.entry(server).or_default();
            for suspect in progress.suspects(fingerprints, now) {
                truncations.answers.add(suspect, now);
            }
            (truncations.status, truncations.is_probing)
        };
        if status == CrashStatus::Confirmed {
            self.report(server);
        } else if is_starting || self.is_one_crash_from_refusal(fingerprints) {
            if self.probe(server).await == Reachability::Accepts {
                self.probe_later(server);
            }
        } else if !is_probing {
            self.set_probing(server, true);
            let gateway = self.clone();
            tokio::task::spawn_local(async move {
                if gateway.probe(server).await == Reachability::Accepts {
                    gateway.probe_later(server);
                }
                gateway.set_probing(server, false);
            });
        }
    }

    /// Whether one more crash would restrict a request, by itself or for a part with which no request
    /// has completed.
    fn is_one_crash_from_refusal(&self, fingerprints: &Fingerprints) -> bool {
        let (now, crashes) = (self.now(), self.crashes.borrow());
        fingerprints.iter().any(|one| {
            crashes.is_one_crash_from_refusal(one, now)
                && (one.kind() == FingerprintKind::Request || !crashes.has_completed(one, now))
        })
    }

    fn set_probing(&self, server: Key<Server>, is_probing: bool) {
        if let Some(truncations) = self.crash_detection.borrow_mut().truncations.get_mut(&server) {
            truncations.is_probing = is_probing;
        }
    }

    /// Probes a server once more. The address of a process that has just crashed may accept
    /// connections for a moment.
    fn probe_later(self: &Rc<Self>, server: Key<Server>) {
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            time::sleep(SECOND_PROBE_DELAY).await;
            gateway.probe(server).await;
        });
    }

    /// Probes whether a server has crashed.
    async fn probe(self: &Rc<Self>, server: Key<Server>) -> Reachability {
        let reachability = self.connect(server).await;
        match reachability {
            Reachability::Accepts => {
                if let Some(truncations) =
                    self.crash_detection.borrow_mut().truncations.get_mut(&server)
                {
                    truncations.was_accepted = true;
                }
                if self.with_crashes(Crashes::has_reports) {
                    self.crashes_changed.notify_one();
                }
            }
            Reachability::Refuses => self.mark_crashed(server),
            // The server list decides.
            Reachability::Unknown => {}
        }
        reachability
    }

    /// Whether a server accepts a new connection.
    async fn connect(&self, server: Key<Server>) -> Reachability {
        let address = self.with_pool(|pool| pool.server(server).listed.address);
        self.metrics.connections_opened.inc();
        match Connection::open(server, address).await {
            Ok(connection) => {
                self.connections.put_back(connection);
                Reachability::Accepts
            }
            Err(error) if is_refusal(&error) => Reachability::Refuses,
            Err(_) => Reachability::Unknown,
        }
    }

    /// Whether a server has crashed, as far as a new connection to it shows.
    pub async fn has_crashed(&self, server: Key<Server>) -> bool {
        self.connect(server).await == Reachability::Refuses
    }

    /// Handles a change of the server list: servers that are no longer listed and were not leaving
    /// have crashed, if they sent truncated answers, or if no answer came after an attempt was left.
    pub(super) fn mark_unlisted_crashed(&self) {
        let now = self.now();
        let unlisted: BTreeSet<Key<Server>> = {
            let (detection, pool) = (self.crash_detection.borrow(), self.pool.borrow());
            let is_unconfirmed = |key: &Key<Server>| {
                let truncations = detection.truncations.get(key);
                truncations.is_none_or(|one| one.status == CrashStatus::Unconfirmed)
            };
            let truncated = detection.truncations.iter();
            let truncated = truncated.filter(|(_, one)| !one.answers.is_expired(now));
            let left = detection.unconfirmed.iter().filter(|(_, one)| !one.is_expired(now));
            let keys = truncated.map(|(key, _)| *key).chain(left.map(|(key, _)| *key));
            keys.filter(|key| {
                let is_unlisted = !pool.is_present(*key) && !pool.server(*key).is_leaving();
                is_unlisted && is_unconfirmed(key)
            })
            .collect()
        };
        unlisted.into_iter().for_each(|server| self.mark_crashed(server));
        self.settle_held();
    }

    fn mark_crashed(&self, server: Key<Server>) {
        {
            let mut detection = self.crash_detection.borrow_mut();
            let truncations = detection.truncations.entry(server).or_default();
            if truncations.status == CrashStatus::Unconfirmed {
                self.metrics.servers_crashed.inc();
            }
            truncations.status = CrashStatus::Confirmed;
        }
        self.report(server);
    }

    /// Reports what was at a server that crashed.
    fn report(&self, server: Key<Server>) {
        let now = self.now();
        let Some((crashed_at, age_error, mut suspects)) = self.suspects_at(server) else { return };
        if suspects.is_empty() {
            return;
        }
        // A report has room for so many: parts with which requests have completed come last.
        self.with_crashes(|crashes| {
            suspects.sort_by_cached_key(|one| {
                let is_part = one.fingerprint.kind() == FingerprintKind::Part;
                (is_part, is_part && crashes.has_completed(one.fingerprint, now))
            });
        });
        let (id, incarnation, service) = self.with_pool(|pool| {
            let listed = &pool.server(server).listed;
            let incarnation = ServerIncarnation::of(&listed.id, listed.started_unix_ms);
            (listed.id.clone(), incarnation, ServiceNumber::of(&listed.service))
        });
        let observed = suspects.clone();
        let age = now.since(crashed_at);
        let reporter = Reporter(self.with_members(|members| members.own().incarnation_id().0));
        let crash = Crash {
            server: incarnation,
            service,
            reporter,
            age,
            age_error,
            suspects,
            outlasted: Vec::new(),
        };
        self.merge_crashes(&[crash], &[], &[]);
        self.log_crash(&id, &observed);
    }

    /// When a server crashed, by how much that may be off, and what was there and is not reported yet.
    fn suspects_at(&self, server: Key<Server>) -> Option<(Millis, Millis, Vec<Suspect>)> {
        let now = self.now();
        let mut detection = self.crash_detection.borrow_mut();
        let CrashDetection { truncations, unconfirmed, own, .. } = &mut *detection;
        let truncations = truncations.get_mut(&server)?;
        let left = unconfirmed.get_mut(&server);
        let last_left_at = left.as_ref().and_then(|left| left.last_at());
        let (crashed_at, age_error, mut suspects) = match truncations.answers.is_empty() {
            // Nothing was there but attempts that were left: the crash came at some time after.
            true => (last_left_at?, now.since(last_left_at?), Vec::new()),
            false => {
                let (crashed_at, suspects) = truncations.answers.confirm_crash();
                (crashed_at, Millis::ZERO, suspects)
            }
        };
        suspects.extend(left.map(|left| left.at_crash(crashed_at)).unwrap_or_default());
        if truncations.was_accepted {
            let unanswered = suspects.iter_mut().filter(|one| one.stage == Stage::Waiting);
            unanswered.for_each(|suspect| suspect.stage = Stage::Doubtful);
        }
        own.extend(suspects.iter().map(|suspect| suspect.fingerprint));
        Some((crashed_at, age_error, suspects))
    }

    /// Merges crashes that were detected here or reported by another gateway, completed requests
    /// and counts of attempts, and requests urgent gossip if they are urgent.
    pub fn merge_crashes(&self, crashes: &[Crash], cleared: &[Cleared], counts: &[EndingCount]) {
        let now = self.now();
        let outcome = {
            let mut known = self.crashes.borrow_mut();
            let of_counts = counts.iter().map(|one| known.merge_ending_count(*one, now)).max();
            let of_crashes = crashes.iter().map(|crash| known.record(crash, now)).max();
            let of_cleared = cleared.iter().map(|one| known.clear(*one, now)).max();
            of_crashes.max(of_cleared).max(of_counts)
        };
        self.act_on(outcome.unwrap_or(MergeOutcome::Unchanged), now);
    }

    fn act_on(&self, outcome: MergeOutcome, now: Millis) {
        if outcome == MergeOutcome::Unchanged {
            return;
        }
        self.log_restricted(now);
        self.crashes_changed.notify_one();
        if outcome == MergeOutcome::Urgent {
            self.request_urgent_gossip(Reach::All);
        }
    }

    /// Records that the stored crashes were read or could not be read: callers may be sent here.
    pub fn record_crashes_read(&self) {
        self.crash_detection.borrow_mut().stored_crashes_read = true;
    }

    /// Calls `act` with all known crashes.
    pub fn with_crashes<T>(&self, act: impl FnOnce(&Crashes) -> T) -> T {
        act(&self.crashes.borrow())
    }

    /// Removes expired crashes; returns what a new process is to know of and was at a crash that this
    /// gateway detected.
    pub fn crashes_to_store(&self) -> Vec<StoredCrashes> {
        let now = self.now();
        self.crashes.borrow_mut().remove_expired(now);
        self.log_restricted(now);
        let candidates = self.with_crashes(|crashes| crashes.worth_storing(now));
        let mut rows = self.unconfirmed_to_store(&candidates);
        let crashes = self.crashes.borrow();
        let mut detection = self.crash_detection.borrow_mut();
        detection.own.retain(|one| crashes.is_suspect(*one));
        rows.extend(detection.own.intersection(&candidates).map(|one| StoredCrashes {
            key: CrashRowKey { fingerprint: *one, unconfirmed_by: None },
            crashes: crashes.crashes_of(*one, now),
            ended_attempts: crashes.endings_of(*one, now),
        }));
        rows
    }
}

/// Whether an error means that no process listens at the address any more.
fn is_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}
