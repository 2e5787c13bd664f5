//! Log lines on crashes, and on what is refused or tried for them.
//! Input: all crashes that this gateway knows. State: the restrictions that were logged.
//! Decides which of them are new or over.

use std::collections::BTreeSet;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::Crashes;
use hooktrestle_core::direct::crashes::Extent;
use hooktrestle_core::direct::crashes::Stage;
use hooktrestle_core::direct::crashes::Suspect;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::fingerprint::FingerprintKind;

use crate::gateway::Gateway;
use crate::platform::Platform;

/// Restrictions that were logged and have not ended.
#[derive(Default)]
pub(super) struct LoggedRestrictions {
    /// Requests and parts that are refused.
    refused: BTreeSet<Fingerprint>,
    /// Parts of prompts that together make a request refused.
    combinations: BTreeSet<BTreeSet<Fingerprint>>,
    /// Parts with which requests are sent one at a time.
    tried: BTreeSet<Fingerprint>,
}

/// How far an answer had got at a crash.
fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Doubtful => "without an answer behind an address that accepts connections",
        Stage::Waiting => "without an answer",
        Stage::Starting => "beginning",
        Stage::Running => "with content",
    }
}

/// What a fingerprint identifies.
fn subject(fingerprint: Fingerprint) -> String {
    match fingerprint.kind() {
        FingerprintKind::Request => format!("request with fingerprint {}", fingerprint.0),
        FingerprintKind::Part => format!("every request with prompt part {}", fingerprint.0),
    }
}

/// At how many crashes something was, also where it has ended well since, and how frequent it is.
fn frequency(crashes: &Crashes, fingerprint: Fingerprint) -> String {
    let Some((count, with, of)) = crashes.coincidence(fingerprint) else { return String::new() };
    format!(", at {count} crashes in all and for {with} of {of} spans of attempts that ended")
}

impl<P: Platform> Gateway<P> {
    /// Logs a crash, with how far the requests there had got, and at how many crashes each part of
    /// their prompts was.
    pub(super) fn log_crash(&self, server_id: &str, suspects: &[Suspect]) {
        let (now, crashes) = (self.now(), self.crashes.borrow());
        let (parts, requests): (Vec<&Suspect>, Vec<&Suspect>) =
            suspects.iter().partition(|one| one.fingerprint.kind() == FingerprintKind::Part);
        let part = |one: &&Suspect| {
            let number = one.fingerprint.0;
            let (count, endings) = (
                crashes.crash_count(one.fingerprint, now),
                crashes.endings_of(one.fingerprint, now),
            );
            let stage = stage_name(one.stage);
            let often = frequency(&crashes, one.fingerprint);
            format!(
                "; prompt part {number} was {stage}, {count} crashes, {endings} good ends{often}"
            )
        };
        let parts: String = parts.iter().map(part).collect();
        let in_stage = |stage| requests.iter().filter(|one| one.stage == stage).count();
        let stages = [Stage::Doubtful, Stage::Waiting, Stage::Starting, Stage::Running];
        let stages = stages.map(|stage| format!("{} {}", in_stage(stage), stage_name(stage)));
        self.event_log.state(format_args!(
            "server {server_id} crashed while running {} requests ({}){parts}",
            requests.len(),
            stages.join(", ")
        ));
    }

    /// Logs that an attempt which ended before its answer was complete has cleared its request, or a part
    /// of its prompt, of crashes.
    pub(super) fn log_cleared(&self, fingerprint: Fingerprint, extent: Extent, crashes: usize) {
        let subject = subject(fingerprint);
        let extent = match extent {
            Extent::Completed => "was complete".to_owned(),
            Extent::Ended(stage, ran) => format!("was {} after {} ms", stage_name(stage), ran.0),
        };
        self.event_log.state(format_args!(
            "{subject} is cleared of {crashes} crashes: an attempt at a server that is up {extent}"
        ));
    }

    /// Logs changes in which requests are refused, and which parts are tried.
    pub(super) fn log_restricted(&self, now: Millis) {
        let refused: BTreeSet<Fingerprint> =
            self.crashes.borrow().refused(now).into_iter().collect();
        self.metrics.crashing_known.set(refused.len() as i64);
        let mut detection = self.crash_detection.borrow_mut();
        for one in refused.difference(&detection.logged.refused) {
            let (subject, crashes) = (subject(*one), self.crashes.borrow());
            let (count, endings) = (crashes.crash_count(*one, now), crashes.endings_of(*one, now));
            let often = frequency(&crashes, *one);
            self.event_log.state(format_args!(
                "{subject} is refused: servers crashed while running it, {count} in all; \
                 {endings} attempts ended well{often}"
            ));
        }
        for one in detection.logged.refused.difference(&refused) {
            self.event_log.state(format_args!("{} is no longer refused", subject(*one)));
        }
        detection.logged.refused = refused;
        let together: BTreeSet<BTreeSet<Fingerprint>> =
            self.crashes.borrow().combinations(now).cloned().collect();
        let numbers = |parts: &BTreeSet<Fingerprint>| {
            parts.iter().map(|one| one.0.to_string()).collect::<Vec<_>>().join(" and ")
        };
        for parts in together.difference(&detection.logged.combinations) {
            let parts = numbers(parts);
            self.event_log
                .state(format_args!("every request with prompt parts {parts} is refused"));
        }
        for parts in detection.logged.combinations.difference(&together) {
            let parts = numbers(parts);
            self.event_log
                .state(format_args!("requests with prompt parts {parts} are no longer refused"));
        }
        detection.logged.combinations = together;
        let tried = self.crashes.borrow().tried(now).into_iter();
        let tried: BTreeSet<Fingerprint> =
            tried.filter(|one| one.kind() == FingerprintKind::Part).collect();
        for one in tried.difference(&detection.logged.tried) {
            let often = frequency(&self.crashes.borrow(), *one);
            self.event_log.state(format_args!("{} is sent one at a time{often}", subject(*one)));
        }
        for one in detection.logged.tried.difference(&tried) {
            self.event_log.state(format_args!("{} is no longer tried", subject(*one)));
        }
        detection.logged.tried = tried;
    }
}
