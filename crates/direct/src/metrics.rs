//! Metrics of a gateway, in counters, gauges and histograms.
//! Input are the events that its tasks count or observe.
//! This module decides the names, help texts and text format that scrapers read.

use std::time::Duration;

use hooktrestle_core::clock::Millis;
use hooktrestle_schema::Cause;
use hooktrestle_schema::IncompleteReason;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Lower bound of the latency buckets in milliseconds, growth factor and number of buckets: 1 ms to
/// 16 s.
const BUCKETS: (f64, f64, u16) = (1.0, 2.0, 15);

/// Labels of a metric: names and values.
type Labels = Vec<(&'static str, String)>;

/// Counters, gauges and histograms of a gateway.
pub struct Metrics {
    /// Requests that were admitted.
    pub requests: Counter,
    /// Answers of backend servers that were relayed completely.
    pub answered: Counter,
    /// Requests refused or failed by the gateway.
    pub refused: Counter,
    /// Streams refused because passes would be too long with them.
    pub streams_over_capacity: Counter,
    /// Attempts that were sent to backend servers.
    pub attempts: Counter,
    /// Answers whose body only the end of its connection delimits.
    pub answers_unframed: Counter,
    /// Answers that were too large to be held, and forwarded as their callers read them.
    pub answers_passed_through: Counter,
    /// Streams that ended truncated for their callers.
    pub streams_truncated: Counter,
    /// For each reason: answers that ended incomplete for their callers.
    pub answers_incomplete: Family<Labels, Counter>,
    /// Streams resumed at another server.
    pub resumed: Counter,
    /// Retries that were charged to the budget.
    pub retries: Counter,
    /// Retries that the budget did not allow.
    pub retries_denied: Counter,
    /// Connections opened to backend servers.
    pub connections_opened: Counter,
    /// Requests sent to a second server because other servers answered later requests.
    pub overtaken: Counter,
    /// Invalid rows of the server list.
    pub rows_ignored: Counter,
    /// Tables that the store returned in an older version than the known one.
    pub stale_tables_read: Counter,
    /// Times that the store was restored from an older copy.
    pub store_eras: Counter,
    /// Servers in groups that are too large for a leader of their expert maps.
    pub ranks_without_leader: Counter,
    /// Servers that were detected to have crashed while they ran requests of this gateway.
    pub servers_crashed: Counter,
    /// Requests that were refused because servers crashed while running them.
    pub crashing_refused: Counter,
    /// Requests that were held back because a server crashed as they began there.
    pub crash_suspects_held: Counter,
    /// Back-offs that servers requested.
    pub back_offs_received: Counter,
    /// Answers in which servers advertised a limit.
    pub limits_advertised: Counter,
    /// Permits that this gateway granted to other gateways and to itself.
    pub permits_granted: Counter,
    /// Times that no permit was available for a request to a server.
    pub permits_unavailable: Counter,
    /// Connections closed because their callers did not read their answers.
    pub readers_closed: Counter,
    /// Requests refused because there was no room for their bodies.
    pub bodies_refused: Counter,
    /// Bytes reserved for the bodies of requests.
    pub body_bytes: Gauge,
    /// Bytes reserved for answers that are read whole.
    pub answer_bytes: Gauge,
    /// Bytes of answers that callers have not read yet.
    pub unread_bytes: Gauge,
    /// Gateways that callers may be sent to, this one included.
    pub gateways_alive: Gauge,
    /// Data centres that operators evacuate.
    pub evacuated_data_centres: Gauge,
    /// Number of different requests that are refused because servers crashed while running
    /// them.
    pub crashing_known: Gauge,
    /// For each service whose room this gateway keeps: streams that its servers carry.
    pub room_streams: Family<Labels, Gauge>,
    /// For each service whose room this gateway keeps: open streams of all gateways.
    pub open_streams: Family<Labels, Gauge>,
    /// For each service and urgency: thousandths of the requests that are admitted, by the newest
    /// notice.
    pub admitted_thousandths: Family<Labels, Gauge>,
    /// For each table of the store: milliseconds since all its changes were known.
    pub table_age_ms: Family<Labels, Gauge>,
    /// Connections that failed because their peers sent too much that is no content.
    pub connections_overrun: Gauge,
    /// Milliseconds by which all tasks were delayed: the longest delay so far.
    pub task_delay_ms: Gauge,
    /// Milliseconds from the head of a request to the head of its answer.
    pub head_ms: Histogram,
    /// Milliseconds between two events of a stream: the duration of a pass of its group.
    pub event_gap_ms: Histogram,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        let (start, factor, length) = BUCKETS;
        let mut metrics = Metrics {
            requests: Counter::default(),
            answered: Counter::default(),
            refused: Counter::default(),
            streams_over_capacity: Counter::default(),
            attempts: Counter::default(),
            answers_unframed: Counter::default(),
            answers_passed_through: Counter::default(),
            streams_truncated: Counter::default(),
            answers_incomplete: Family::default(),
            resumed: Counter::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            connections_opened: Counter::default(),
            overtaken: Counter::default(),
            rows_ignored: Counter::default(),
            stale_tables_read: Counter::default(),
            store_eras: Counter::default(),
            ranks_without_leader: Counter::default(),
            servers_crashed: Counter::default(),
            crashing_refused: Counter::default(),
            crash_suspects_held: Counter::default(),
            back_offs_received: Counter::default(),
            limits_advertised: Counter::default(),
            permits_granted: Counter::default(),
            permits_unavailable: Counter::default(),
            readers_closed: Counter::default(),
            bodies_refused: Counter::default(),
            body_bytes: Gauge::default(),
            answer_bytes: Gauge::default(),
            unread_bytes: Gauge::default(),
            gateways_alive: Gauge::default(),
            table_age_ms: Family::default(),
            evacuated_data_centres: Gauge::default(),
            crashing_known: Gauge::default(),
            room_streams: Family::default(),
            open_streams: Family::default(),
            admitted_thousandths: Family::default(),
            connections_overrun: Gauge::default(),
            task_delay_ms: Gauge::default(),
            head_ms: Histogram::new(exponential_buckets(start, factor, length)),
            event_gap_ms: Histogram::new(exponential_buckets(start, factor, length)),
            registry: Registry::with_prefix("hooktrestle"),
        };
        let counters = [
            ("requests", "Requests that were admitted", &metrics.requests),
            ("answered", "Answers that were passed on whole", &metrics.answered),
            ("refused", "Requests refused or failed by the gateway", &metrics.refused),
            (
                "crowded",
                "Streams refused because passes would be too long",
                &metrics.streams_over_capacity,
            ),
            ("attempts", "Attempts that were sent", &metrics.attempts),
            ("answers_unframed", "Answers without length or chunks", &metrics.answers_unframed),
            (
                "answers_passed_through",
                "Answers too large to be held",
                &metrics.answers_passed_through,
            ),
            (
                "streams_truncated",
                "Streams that ended truncated for their callers",
                &metrics.streams_truncated,
            ),
            ("resumed", "Streams taken up at another server", &metrics.resumed),
            ("repeats", "Repeats charged to the budget", &metrics.retries),
            ("repeats_denied", "Repeats beyond the budget", &metrics.retries_denied),
            ("dialled", "Connections opened to backend servers", &metrics.connections_opened),
            ("overtaken", "Requests sent to a second server", &metrics.overtaken),
            ("rows_passed_over", "Rows that named no server", &metrics.rows_ignored),
            ("tables_read_old", "Tables older than known", &metrics.stale_tables_read),
            ("store_eras", "Times that the store came back from a copy", &metrics.store_eras),
            ("servers_crashed", "Servers that crashed", &metrics.servers_crashed),
            ("crashing_refused", "Requests that crash servers", &metrics.crashing_refused),
            ("crash_suspects_held", "Requests held back", &metrics.crash_suspects_held),
            ("rests_asked", "Rests that servers asked for", &metrics.back_offs_received),
            ("limits_named", "Answers in which servers named a limit", &metrics.limits_advertised),
            ("permits_given", "Permits given out for all gateways", &metrics.permits_granted),
            ("permits_lacking", "Times that there was no permit", &metrics.permits_unavailable),
            ("readers_closed", "Callers that did not read", &metrics.readers_closed),
            ("bodies_refused", "Requests without room for their body", &metrics.bodies_refused),
            ("ranks_unled", "Servers in groups too large to be led", &metrics.ranks_without_leader),
        ];
        for (name, help, counter) in counters {
            metrics.registry.register(name, help, counter.clone());
        }
        let help = "Answers that ended incomplete for their callers";
        metrics.registry.register("answers_incomplete", help, metrics.answers_incomplete.clone());
        let help = "Gateways that are heard of, this one included";
        metrics.registry.register("gateways_living", help, metrics.gateways_alive.clone());
        let help = "Bytes reserved for the bodies of requests";
        metrics.registry.register("body_bytes", help, metrics.body_bytes.clone());
        let help = "Bytes reserved for answers that are read whole";
        metrics.registry.register("answer_bytes", help, metrics.answer_bytes.clone());
        let help = "Bytes of answers that callers have not read yet";
        metrics.registry.register("unread_bytes", help, metrics.unread_bytes.clone());
        let help = "Data centres that operators evacuate";
        metrics.registry.register("evacuated", help, metrics.evacuated_data_centres.clone());
        let help = "Different requests that are refused because servers crash under them";
        metrics.registry.register("crashing_known", help, metrics.crashing_known.clone());
        let help = "Streams that the servers of a service carry, at the keeper of its room";
        metrics.registry.register("room_streams", help, metrics.room_streams.clone());
        let help = "Open streams of a service at all gateways, at the keeper of its room";
        metrics.registry.register("room_open_streams", help, metrics.open_streams.clone());
        let help = "Thousandths of the requests of an urgency that are admitted";
        metrics.registry.register(
            "admitted_thousandths",
            help,
            metrics.admitted_thousandths.clone(),
        );
        let help = "Milliseconds since all changes of a table were known";
        metrics.registry.register("table_age_ms", help, metrics.table_age_ms.clone());
        let help = "Connections whose peers sent too much that is no content";
        metrics.registry.register("connections_overrun", help, metrics.connections_overrun.clone());
        let help = "Longest delay of all tasks in milliseconds";
        metrics.registry.register("task_delay_ms", help, metrics.task_delay_ms.clone());
        let help = "Milliseconds from a request's head to its answer's head";
        metrics.registry.register("head_ms", help, metrics.head_ms.clone());
        let help = "Milliseconds between two events of a stream";
        metrics.registry.register("pause_ms", help, metrics.event_gap_ms.clone());
        metrics
    }
}

impl Metrics {
    /// The counter of refusals with one cause, if there is one.
    pub fn of_refusal(&self, cause: Cause) -> Option<&Counter> {
        match cause {
            Cause::CrashesServers => Some(&self.crashing_refused),
            Cause::CrashSuspect => Some(&self.crash_suspects_held),
            _ => None,
        }
    }

    /// Records that an answer ended incomplete for its caller.
    pub fn record_incomplete(&self, reason: IncompleteReason) {
        let labels = vec![("reason", reason.to_string())];
        self.answers_incomplete.get_or_create(&labels).inc();
    }

    /// Records how long ago all changes of a table were known.
    pub fn record_table_age(&self, table: &str, age: Millis) {
        let labels = vec![("table", table.to_owned())];
        self.table_age_ms.get_or_create(&labels).set(age.0 as i64);
    }

    /// Records how many connections failed so far because their peers sent too much that is no
    /// content; returns how many of them are new.
    pub fn record_overrun(&self, count: u64) -> u64 {
        let count = count as i64;
        let before = self.connections_overrun.get();
        self.connections_overrun.set(count);
        (count - before).unsigned_abs()
    }

    /// Records a delay of all tasks.
    pub fn record_delay(&self, lasted: Duration) {
        let longest = self.task_delay_ms.get().max(lasted.as_millis() as i64);
        self.task_delay_ms.set(longest);
    }

    /// Records the room of a service, which this gateway keeps.
    pub fn record_room(&self, service: &str, streams: f64, open: f64) {
        let labels = || vec![("service", service.to_owned())];
        self.room_streams.get_or_create(&labels()).set(streams as i64);
        self.open_streams.get_or_create(&labels()).set(open as i64);
    }

    /// Removes the room of a service, which this gateway no longer keeps.
    pub fn remove_room(&self, service: &str) {
        let labels = vec![("service", service.to_owned())];
        self.room_streams.remove(&labels);
        self.open_streams.remove(&labels);
    }

    /// Records the fractions of the requests of a service that are admitted, by urgency.
    pub fn record_admitted(&self, service: &str, admitted: &[f64]) {
        for (urgency, fraction) in admitted.iter().enumerate() {
            let labels = vec![("service", service.to_owned()), ("urgency", urgency.to_string())];
            self.admitted_thousandths.get_or_create(&labels).set((fraction * 1_000.0) as i64);
        }
    }

    /// All metrics, in the text format that scrapers read.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}
