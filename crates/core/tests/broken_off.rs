//! Servers that crash while the platform's list is late: what is found to have been there.

use std::collections::BTreeMap;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::crashes::Config;
use hooktrestle_core::direct::crashes::Crash;
use hooktrestle_core::direct::crashes::Crashes;
use hooktrestle_core::direct::crashes::Reporter;
use hooktrestle_core::direct::crashes::ServerIncarnation;
use hooktrestle_core::direct::crashes::Stage;
use hooktrestle_core::direct::crashes::Suspect;
use hooktrestle_core::direct::fingerprint::Fingerprint;
use hooktrestle_core::direct::truncated_answers::TruncatedAnswers;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SERVERS: u64 = 6;
const TICK: Millis = Millis(10);

/// Time from the beginning, in which all servers but one crash, to an answer of that one.
const WELL: Millis = Millis(2_000);

/// A request that many callers send, and one that crashes each server which runs it.
const COMMON: Fingerprint = Fingerprint(1);
const CULPRIT: Fingerprint = Fingerprint(2);

/// One gateway that sends requests to servers, some of which crash while their rows stay: connections to them are taken,
/// and carry nothing.
struct Gateway {
    now: Millis,
    crashes: Crashes,
    broken: BTreeMap<u64, TruncatedAnswers>,
    rng: ChaCha8Rng,
}

impl Gateway {
    fn send(&mut self, fingerprint: Fingerprint, server: u64, lives: bool, stage: Stage) {
        let (now, ran) = (self.now, Millis(self.rng.random_range(5..80)));
        if lives && fingerprint != CULPRIT {
            if let Some(broken) = self.broken.get_mut(&server) {
                broken.record_answer(now - ran);
            }
            self.crashes.record_completed(fingerprint, now);
            return;
        }
        let stage = if lives { stage } else { Stage::Waiting };
        let broken = self.broken.entry(server).or_default();
        broken.add(Suspect { fingerprint, ran, stage }, now);
    }

    /// The list comes, without the rows of these.
    fn unlist(&mut self, servers: &[u64]) {
        for server in servers {
            let Some(broken) = self.broken.get_mut(server) else { continue };
            if broken.is_expired(self.now) {
                continue;
            }
            let (at, suspects) = broken.confirm_crash();
            let (server, reporter) = (ServerIncarnation(*server), Reporter(0));
            self.crashes
                .record(&Crash { server, reporter, age: self.now.since(at), suspects }, self.now);
        }
    }
}

/// Guards against a request that many callers send being taken for one that crashes servers: it is sent to several that
/// crashed while the store was away, and breaks off at each until all their rows go at one moment.
#[test]
fn what_is_sent_to_servers_that_have_crashed_before_did_not_crash_them() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let begin = Millis(20_000);
        let end = begin + Millis(rng.random_range(4_000..16_000));
        let crash_at: Vec<Millis> =
            (1..SERVERS).map(|_| begin + Millis(10 * rng.random_range(1..150))).collect();
        let crashes = Crashes::new(Config::default(), Reporter(0));
        let mut gateway = Gateway { now: begin, crashes, broken: BTreeMap::new(), rng };
        while gateway.now < end {
            gateway.now = gateway.now + TICK;
            let now = gateway.now;
            for (server, at) in (1..SERVERS).zip(&crash_at) {
                if now == *at {
                    gateway.send(CULPRIT, server, true, Stage::Running);
                }
            }
            // Once all have crashed, it ends well at the one that is left, and is sent to the others for long.
            if now == begin + WELL {
                gateway.send(COMMON, 0, true, Stage::Running);
            }
            if gateway.rng.random_range(0..4) == 0 {
                let server = gateway.rng.random_range(1..SERVERS);
                let lives = now < crash_at[server as usize - 1];
                gateway.send(COMMON, server, lives, Stage::Running);
            }
        }
        let gone: Vec<u64> = (1..SERVERS).collect();
        gateway.unlist(&gone);
        let refused = gateway.crashes.refused_for(COMMON, gateway.now);
        assert_eq!(refused, None, "seed {seed}: a request that ended well after each crash");
    }
}

/// Guards against a crash that is dated by the last answers that broke off there, once the first are forgotten.
#[test]
fn a_crash_is_dated_by_the_first_answer_that_broke_off_since_the_server_lived() {
    let mut broken = TruncatedAnswers::default();
    let suspect = |number| Suspect {
        fingerprint: Fingerprint(number),
        ran: Millis(20),
        stage: Stage::Waiting,
    };
    broken.add(suspect(1), Millis(1_000));
    broken.record_answer(Millis(1_500));
    broken.add(suspect(2), Millis(2_000));
    for number in 3..20 {
        broken.add(suspect(number), Millis(2_000 + 900 * number));
    }
    let (crashed_at, there) = broken.confirm_crash();
    assert_eq!(crashed_at, Millis(2_000));
    assert!(there.is_empty(), "the one that was there is forgotten: {there:?}");
}
