//! Tests of the configuration in force and of the replicas of tables at a gateway. They guard
//! against requests that get the wrong route or account, and against replicas that differ from the
//! store's table at their revision.

mod support;

use std::collections::BTreeMap;

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::replica::Change;
use hooktrestle_core::direct::replica::Replica;
use hooktrestle_core::direct::replica::Update;
use hooktrestle_core::direct::serving::Account;
use hooktrestle_core::direct::serving::CallerLimits;
use hooktrestle_core::direct::serving::Denial;
use hooktrestle_core::direct::serving::Homes;
use hooktrestle_core::direct::serving::Residency;
use hooktrestle_core::direct::serving::Route;
use hooktrestle_core::direct::serving::RouteKind;
use hooktrestle_core::direct::serving::ServingConfig;
use hooktrestle_core::direct::serving::Split;
use proptest::collection::vec;
use proptest::prelude::*;
use support::seeded;

fn route(host: &str, prefix: &str, anonymous: bool) -> Route {
    Route {
        name: prefix.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Repeatable,
        timeout_ms: Millis(2_000),
        objective_ms: Millis(300),
        pause_ms: None,
        priority: 1,
        splits: vec![Split { service: "hints".to_owned(), weight: 1 }],
        max_attempts: 2,
        anonymous,
        resumable: false,
        homes: Homes::default(),
    }
}

fn serving(routes: Vec<Route>) -> ServingConfig {
    let account = Account {
        name: "paper".to_owned(),
        keys: vec!["k1".to_owned()],
        priority: None,
        homes: Homes::default(),
    };
    ServingConfig::new(7, routes, Vec::new(), vec![account], CallerLimits::default())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let all = ["/", "/a/", "/a/b/"].map(|prefix| route("one.example", prefix, true));
    let serving = serving(all.to_vec());
    let found = |host: &str, path: &str| {
        let (key, _) = serving.admit(host, path, None)?;
        Ok(serving.route(key).path_prefix.clone())
    };
    assert_eq!(found("one.example", "/a/b/c"), Ok("/a/b/".to_owned()));
    assert_eq!(found("one.example", "/a/bc"), Ok("/a/".to_owned()));
    assert_eq!(found("ONE.example:80", "/ab"), Ok("/".to_owned()));
    assert_eq!(found("two.example", "/a/b/c"), Err(Denial::NoRoute));
}

#[test]
fn a_known_key_is_required_unless_the_route_is_anonymous() {
    let serving = serving(vec![route("h", "/open/", true), route("h", "/shut/", false)]);
    let admit = |path: &str, key| serving.admit("h", path, key).map(|(_, account)| account);
    assert_eq!(admit("/shut/", None), Err(Denial::UnknownKey));
    assert_eq!(admit("/shut/", Some("k2")), Err(Denial::UnknownKey));
    assert_eq!(admit("/open/", Some("k2")), Ok(None));
    let known = admit("/shut/", Some("k1")).unwrap().map(|key| serving.account(key).name.clone());
    assert_eq!(known.as_deref(), Some("paper"));
}

/// Guards against streams of an account with a priority of its own that all count alike, so that the
/// most urgent route gets no room first.
#[test]
fn the_urgency_of_a_stream_follows_the_account_then_the_route() {
    let stream = |prefix: &str, priority| Route {
        kind: RouteKind::Stream,
        priority,
        ..route("h", prefix, false)
    };
    let account = |name: &str, priority| Account {
        name: name.to_owned(),
        keys: vec![name.to_owned()],
        priority,
        homes: Homes::default(),
    };
    let accounts =
        vec![account("first", Some(0)), account("second", Some(1)), account("any", None)];
    let routes = vec![stream("/late/", 2), stream("/early/", 0), route("h", "/whole/", false)];
    let serving = ServingConfig::new(7, routes, Vec::new(), accounts, CallerLimits::default());
    let urgency = |key: &str, path: &str| {
        let (route, account) = serving.admit("h", path, Some(key)).expect("it is known");
        serving.urgency(route, account)
    };
    let urgencies =
        [("first", "/early/"), ("first", "/late/"), ("second", "/early/"), ("second", "/late/")]
            .map(|(key, path)| urgency(key, path));
    assert_eq!(urgencies, [0, 1, 2, 3]);
    assert_eq!((urgency("any", "/early/"), urgency("any", "/late/")), (0, 4));
}

/// Guards against requests that are processed outside the homes of their route or of their client
/// account: both restrict a request, and a route or account without homes does not.
#[test]
fn homes_of_the_route_and_of_the_account_both_restrict_a_request() {
    let homes = |regions: &[&str]| Homes(regions.iter().map(|&region| region.into()).collect());
    let (anywhere, north) = (homes(&[]), homes(&["north"]));
    let both = homes(&["north", "south"]);
    let allowed = |route: &Homes, account: &Homes| {
        let residency = Residency { route: Some(route), account: Some(account) };
        ["north", "south", ""].map(|region| residency.allows(region))
    };
    assert_eq!(allowed(&anywhere, &anywhere), [true, true, true]);
    assert_eq!(allowed(&anywhere, &north), [true, false, false]);
    assert_eq!(allowed(&north, &both), [true, false, false]);
    assert_eq!(allowed(&north, &homes(&["south"])), [false, false, false]);
    let restricted = Route { homes: north, ..route("one.example", "/a/", true) };
    let config = serving(vec![route("one.example", "/b/", true), restricted]);
    assert!(config.host_allows("one.example", "north"));
    assert!(!config.host_allows("One.Example", "south"), "one of its routes has a home");
    assert!(config.host_allows("two.example", "south"));
}

/// A store with one table, as the list of all its changes.
#[derive(Default)]
struct History(Vec<Change>);

impl History {
    fn change(&mut self, key: u8, value: Option<u8>) {
        let revision = self.0.len() as u64 + 1;
        let value = value.map(|value| value.to_string());
        self.0.push(Change { key: key.to_string(), revision, value });
    }

    /// Reference model: all changes up to a revision, in order.
    fn rows(&self, revision: u64) -> BTreeMap<String, String> {
        let mut rows = BTreeMap::new();
        for change in self.0.iter().filter(|change| change.revision <= revision) {
            match &change.value {
                Some(value) => rows.insert(change.key.clone(), value.clone()),
                None => rows.remove(&change.key),
            };
        }
        rows
    }

    fn whole(&self, revision: u64) -> Update {
        let newest = |key: &str| {
            let changes = self.0.iter().rev();
            let mut known = changes.filter(|change| change.revision <= revision);
            known.find(|change| change.key == key).cloned()
        };
        let changes = self.rows(revision).into_keys().filter_map(|key| newest(&key)).collect();
        Update { revision: revision.into(), whole: true, changes }
    }

    fn since(&self, from: u64, to: u64) -> Update {
        let range = self.0.iter().filter(|change| change.revision > from && change.revision <= to);
        Update { revision: to.into(), whole: false, changes: range.cloned().collect() }
    }
}

fn rows(replica: &Replica) -> BTreeMap<String, String> {
    replica.rows().map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

proptest! {
    #![proptest_config(seeded(400, "tests/direct_tables.regressions"))]

    /// Guards against replicas that lose or revive rows. Two gateways get updates from the store
    /// and from each other in any order, old copies among them. Each holds exactly the store's rows
    /// at its revision, and its revision never falls.
    #[test]
    fn replicas_equal_the_store_at_their_revision(
        changes in vec((0u8..6, proptest::option::of(0u8..4)), 1..40),
        steps in vec((0u8..4, 0usize..2, 0.0f64..1.0), 1..60),
    ) {
        let mut history = History::default();
        for (key, value) in changes {
            history.change(key, value);
        }
        let newest = history.0.len() as u64;
        let mut replicas = [Replica::default(), Replica::default()];
        for (step, index, fraction) in steps {
            let known = replicas[index].revision();
            let before = known.count;
            let upto = (fraction * newest as f64) as u64;
            let update = match step {
                0 => Some(history.whole(upto)),
                // The feed continues from the known revision.
                1 if before > 0 => Some(history.since(before, before.max(upto))),
                _ => replicas[1 - index].since(known),
            };
            if let Some(update) = update {
                replicas[index].apply(&update);
            }
            prop_assert!(replicas[index].revision() >= known);
            let count = replicas[index].revision().count;
            prop_assert_eq!(rows(&replicas[index]), history.rows(count));
        }
    }
}

#[test]
fn a_removal_before_a_complete_copy_reaches_peers() {
    let mut history = History::default();
    history.change(1, Some(1));
    let mut behind = Replica::default();
    behind.apply(&history.whole(1));
    history.change(1, None);
    history.change(2, Some(2));
    let mut fresh = Replica::default();
    fresh.apply(&history.whole(3));
    behind.apply(&fresh.since(behind.revision()).unwrap());
    assert_eq!(rows(&behind), history.rows(3));
}
