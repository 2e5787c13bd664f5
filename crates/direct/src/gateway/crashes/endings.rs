//! Attempts that ended without a crash, as far as this gateway knows.
//! Input: answers of servers, complete ones, and attempts that were left. The state is that of crash
//! detection. Decides when an attempt shows that its request and its parts did not crash the server.

use std::rc::Rc;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::AttemptCount;
use hooktrestle_core::direct::crashes::Extent;
use hooktrestle_core::direct::crashes::MergeOutcome;
use hooktrestle_core::direct::crashes::ServiceNumber;
use hooktrestle_core::direct::crashes::Stage;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::fingerprint::Fingerprints;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::direct::unconfirmed_endings::EndedAttempt;
use hooktrestle_core::util::arena::Key;
use tokio::time;

use crate::connections::Connection;
use crate::gateway::Gateway;
use crate::gateway::crashes::Completion;
use crate::gateway::crashes::CrashStatus;
use crate::gateway::crashes::Progress;
use crate::gateway::crashes::SECOND_PROBE_DELAY;
use crate::platform::Platform;

impl<P: Platform> Gateway<P> {
    /// Records that a server answered a request that was sent at `sent_at`: attempts that ended
    /// there before did not crash it.
    pub fn record_server_answer(&self, server: Key<Server>, sent_at: Millis) {
        self.with_pool(|pool| pool.record_received(server));
        {
            let mut detection = self.crash_detection.borrow_mut();
            let truncations = detection.truncations.get_mut(&server);
            if let Some(truncations) =
                truncations.filter(|truncations| truncations.status == CrashStatus::Unconfirmed)
            {
                truncations.answers.record_answer(sent_at);
            }
        }
        self.confirm_endings(server, sent_at);
    }

    /// Records that a server was up at `at`.
    fn confirm_endings(&self, server: Key<Server>, at: Millis) {
        let survived = {
            let mut detection = self.crash_detection.borrow_mut();
            let unconfirmed = detection.unconfirmed.get_mut(&server);
            unconfirmed.map(|unconfirmed| unconfirmed.confirm(at)).unwrap_or_default()
        };
        self.record_survived(survived);
    }

    fn record_survived(&self, survived: Vec<EndedAttempt>) {
        let now = self.now();
        for EndedAttempt { fingerprint, extent, at } in survived {
            let before = self.with_crashes(|crashes| crashes.crash_count(fingerprint, now));
            let outcome = self.crashes.borrow_mut().record_survived(fingerprint, extent, at, now);
            let left = self.with_crashes(|crashes| crashes.crash_count(fingerprint, now));
            if left < before {
                self.log_cleared(fingerprint, extent, before - left);
            }
            self.act_on(outcome, now);
        }
    }

    /// Removes unconfirmed attempts that ended long ago. The server list would no longer contain their
    /// servers if these had crashed then.
    fn expire_unconfirmed(&self) {
        let now = self.now();
        let survived: Vec<EndedAttempt> = {
            let (mut detection, pool) = (self.crash_detection.borrow_mut(), self.pool.borrow());
            let expired = detection.unconfirmed.iter_mut().map(|(server, unconfirmed)| {
                (pool.is_present(*server), unconfirmed.take_expired(now))
            });
            let survived = expired.filter(|(is_present, _)| *is_present);
            let survived = survived.flat_map(|(_, expired)| expired).collect();
            detection.unconfirmed.retain(|_, unconfirmed| !unconfirmed.is_expired(now));
            survived
        };
        self.record_survived(survived);
    }

    /// Records that the first content of an answer has arrived. Once its server answers a later request,
    /// this clears the parts of its prompt of crashes before the first content.
    pub fn record_begun_answer(&self, server: Key<Server>, fingerprints: &Fingerprints) {
        let is_suspect = |one: &Fingerprint| self.crashes.borrow().is_suspect(*one);
        if !fingerprints.parts.iter().any(is_suspect) {
            return;
        }
        let extent = Extent::Ended(Stage::Running, Millis::ZERO);
        self.add_unconfirmed(server, fingerprints.parts.iter().copied(), extent);
    }

    /// Records that an attempt ended before its answer was complete, and that its server was up as
    /// far as known: the caller disconnected, say. It counts once the server answers again.
    pub fn record_ended_attempt(
        &self,
        server: Key<Server>,
        fingerprints: &Fingerprints,
        progress: Progress,
    ) {
        self.add_unconfirmed_request(server, fingerprints, progress.extent(self.now()));
        if self.crash_detection.borrow().is_known_crashed(server) {
            self.report(server);
        }
    }

    /// Records that a request got its complete answer from a server.
    pub fn record_completed_request(
        self: &Rc<Self>,
        server: Key<Server>,
        fingerprints: &Fingerprints,
        completion: Completion,
    ) {
        let now = self.now();
        if completion == Completion::Unconfirmed {
            self.add_unconfirmed_request(server, fingerprints, Extent::Completed);
            let crashes = self.crashes.borrow();
            if fingerprints.parts.iter().any(|part| !crashes.has_completed(*part, now)) {
                let gateway = self.clone();
                tokio::task::spawn_local(
                    async move { gateway.confirm_by_connection(server).await },
                );
            }
            return;
        }
        let outcome = {
            let mut crashes = self.crashes.borrow_mut();
            fingerprints.iter().map(|one| crashes.record_completed(one, now)).max()
        };
        self.act_on(outcome.unwrap_or(MergeOutcome::Unchanged), now);
    }

    /// Confirms the attempts at a server if a new connection to it stays open. An address that accepts
    /// connections without its server, behind a proxy for instance, closes them.
    async fn confirm_by_connection(&self, server: Key<Server>) {
        let address = self.with_pool(|pool| pool.server(server).listed.address);
        let opened_at = self.now();
        self.metrics.connections_opened.inc();
        // The server list decides if there is no connection.
        let Ok(connection) = Connection::open(server, address).await else { return };
        time::sleep(SECOND_PROBE_DELAY).await;
        if connection.is_open() {
            self.connections.put_back(connection);
            self.confirm_endings(server, opened_at);
        }
    }

    /// Records how an attempt ended, which counts once its server answers a later request.
    fn add_unconfirmed_request(
        &self,
        server: Key<Server>,
        fingerprints: &Fingerprints,
        extent: Extent,
    ) {
        self.add_unconfirmed(server, fingerprints.iter(), extent);
    }

    /// Merges a count of attempts of another gateway.
    pub fn merge_attempt_count(&self, received: AttemptCount) {
        self.crashes.borrow_mut().merge_attempt_count(received, self.now());
    }

    /// Counts an attempt that has ended, after it had lasted for this time.
    pub fn count_attempt(&self, server: Key<Server>, fingerprints: &Fingerprints, lasted: Millis) {
        let service = self.with_pool(|pool| ServiceNumber::of(&pool.server(server).listed.service));
        self.crashes.borrow_mut().count_attempt(service, fingerprints, lasted);
    }

    fn add_unconfirmed(
        &self,
        server: Key<Server>,
        ended: impl Iterator<Item = Fingerprint>,
        extent: Extent,
    ) {
        self.expire_unconfirmed();
        let now = self.now();
        let is_end_planned = self.with_pool(|pool| pool.is_end_planned(server));
        let mut detection = self.crash_detection.borrow_mut();
        // That such a server is not listed shows no crash.
        if is_end_planned && !detection.is_known_crashed(server) {
            return;
        }
        let unconfirmed = detection.unconfirmed.entry(server).or_default();
        for fingerprint in ended {
            unconfirmed.add(EndedAttempt { fingerprint, extent, at: now });
        }
    }
}
