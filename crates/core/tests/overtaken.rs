//! Tests of requests at a server that stopped responding, as a frozen machine does. They guard
//! against requests that wait there although others overtake them, and against requests that are
//! given up while all servers of a group stall.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::overtaken::Config;
use hooktrestle_core::direct::overtaken::Heads;
use hooktrestle_core::direct::overtaken::Next;
use hooktrestle_core::direct::pool::ListedServer;
use hooktrestle_core::direct::pool::Pool;
use hooktrestle_core::direct::pool::Server;
use hooktrestle_core::util::arena::Key;

const SERVERS: usize = 6;

fn servers() -> Vec<Key<Server>> {
    let mut pool = Pool::new(Default::default());
    for number in 0..SERVERS {
        let listed = ListedServer {
            id: format!("s{number}"),
            service: "hints".to_owned(),
            address: ([10, 0, 0, number as u8], 80).into(),
            data_centre: "a".to_owned(),
            region: String::new(),
            slots: 4,
            leaving: false,
            cold_for: Millis::ZERO,
            started_unix_ms: None,
        };
        pool.list(listed, number as u64 + 1);
    }
    pool.present_of("hints")
}

/// Sends a request each 40 ms to one server after the other, which answers after 160 ms. From 2 s
/// on the servers of `is_frozen` do not respond for 4 s, and then answer at once. Returns how long
/// each request waited until it was answered or given up, and whether it was given up.
fn play(is_frozen: impl Fn(usize) -> bool) -> Vec<(u64, bool)> {
    let keys = servers();
    let mut heads = Heads::new(Config::default());
    let mut waiting: Vec<(usize, u64, u64)> = Vec::new();
    let mut ended = Vec::new();
    for now in (0..9_000).step_by(10) {
        if now % 40 == 0 {
            let server = (now as usize / 40) % SERVERS;
            let due = now + 160;
            let held = is_frozen(server) && (2_000..6_000).contains(&due);
            waiting.push((server, now, if held { 6_000 } else { due }));
        }
        waiting.retain(|(server, sent, due)| {
            let (key, sent_at) = (keys[*server], Millis(*sent));
            if *due <= now {
                heads.began(key, sent_at, Millis(now));
                ended.push((now - sent, false));
                return false;
            }
            let given_up = heads.next(key, sent_at, Millis(now)) == Next::GiveUp;
            if given_up {
                ended.push((now - sent, true));
            }
            !given_up
        });
    }
    ended
}

#[test]
fn a_request_at_a_frozen_server_is_given_up_within_600_ms() {
    let ended = play(|server| server == 3);
    let given_up: Vec<u64> =
        ended.iter().filter(|(_, given_up)| *given_up).map(|(waited, _)| *waited).collect();
    assert!(given_up.len() > 10, "{given_up:?}");
    assert!(given_up.iter().all(|waited| *waited <= 600), "{given_up:?}");
    let longest = ended.iter().map(|(waited, _)| *waited).max();
    assert!(longest <= Some(600), "{longest:?}");
}

#[test]
fn no_request_is_given_up_while_all_servers_are_stalled() {
    let ended = play(|_| true);
    assert!(ended.iter().all(|(_, given_up)| !given_up));
    assert!(ended.iter().any(|(waited, _)| *waited > 3_000), "they stalled");
}

#[test]
fn a_slow_request_is_given_up_after_three_times_the_usual_wait() {
    let keys = servers();
    let mut heads = Heads::new(Config::default());
    for number in 0..20 {
        heads.began(keys[1], Millis(1_000 + number), Millis(1_400 + number));
    }
    assert_eq!(heads.next(keys[0], Millis(900), Millis(2_000)), Next::Wait(Millis(2_100)));
    assert_eq!(heads.next(keys[0], Millis(900), Millis(2_100)), Next::GiveUp);
    assert_eq!(
        heads.next(keys[1], Millis(900), Millis(2_100)),
        Next::Wait(Millis(2_200)),
        "answers of the same server do not count"
    );
}

#[test]
fn no_request_is_given_up_before_any_answer_is_recorded() {
    let heads = Heads::new(Config::default());
    let key = servers()[0];
    assert_eq!(heads.next(key, Millis(0), Millis(90_000)), Next::Wait(Millis(90_100)));
}
