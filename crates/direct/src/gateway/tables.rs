//! Updates of the platform's tables, from the store and from other gateways.
//! A replica of each table is kept, and the rows that the store has lost.
//! This module decides which changes take effect, and which gateways receive them at once.

use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::replica::LostRow;
use hooktrestle_core::direct::replica::Replica;
use hooktrestle_core::direct::replica::Revision;
use hooktrestle_core::direct::replica::Update;

use crate::gateway::Gateway;
use crate::gateway::slow_servers::Reach;
use crate::platform::Malformed;
use crate::platform::Platform;
use crate::platform::Table;

/// Maximum number of invalid rows that a process logs: another writer may insert any number of
/// them.
const MAX_IGNORED_ROWS_LOGGED: usize = 64;

impl<P: Platform> Gateway<P> {
    /// Revision up to which a table is known.
    pub fn revision(&self, table: Table) -> Revision {
        self.replicas.borrow().get(&table).map(Replica::revision).unwrap_or_default()
    }

    /// Whether anything is known of a table.
    pub fn knows(&self, table: Table) -> bool {
        self.revision(table) > Revision::default()
    }

    /// Records that all changes of a table up to a time are known.
    pub fn confirm_table(&self, table: Table, at: Millis) {
        self.table_ages.borrow_mut().entry(table).or_default().confirm(at);
    }

    /// Records that another gateway knew all changes of a table up to `revision` that existed `age` ago.
    pub fn confirm_table_by_peer(&self, table: Table, revision: Revision, age: Millis) {
        let (known, now) = (self.revision(table), self.now());
        // Revisions of two eras are not comparable, and times before the start have no value.
        if known.era == revision.era && known >= revision && age <= now {
            self.confirm_table(table, now - age);
        }
    }

    /// Whether it is so long ago that all changes of a table were known that the gateways which follow
    /// the store closely may not receive them either.
    pub fn is_table_overdue(&self, table: Table) -> bool {
        let propagation = self.with_members(|members| members.propagation_time());
        let max_age = self.follow_calls.current_within + propagation;
        self.table_age(table).is_none_or(|age| age > max_age)
    }

    /// Time since all changes of a table were known; `None` before the first answer of the store.
    pub fn table_age(&self, table: Table) -> Option<Millis> {
        self.table_ages.borrow().get(&table)?.get(self.now())
    }

    /// The age of a table, for log lines.
    pub fn table_age_text(&self, table: Table) -> String {
        match self.table_age(table) {
            Some(age) => format!("{age} after all changes were known"),
            None => "no answer of the store before".to_owned(),
        }
    }

    /// Sets the metrics of the ages of the tables.
    pub fn record_table_ages(&self) {
        for table in [Table::Configuration, Table::Servers] {
            if let Some(age) = self.table_age(table) {
                self.metrics.record_table_age(table.name(), age);
            }
        }
    }

    /// Changes of a table after `revision`, for another gateway.
    pub fn since(&self, table: Table, revision: Revision) -> Option<Update> {
        self.replicas.borrow().get(&table)?.since(revision)
    }

    /// Applies an update of a table from the store or from another gateway.
    pub fn apply_update(&self, table: Table, update: &Update, source: &'static str) {
        let known = self.revision(table);
        if table == Table::Configuration && update.revision.era > known.era {
            self.retain_configuration();
        }
        let applied = match self.replicas.borrow_mut().get_mut(&table) {
            Some(replica) => replica.apply(update),
            None => return,
        };
        let revision = self.revision(table);
        let era_began = revision.era > known.era;
        if era_began {
            let name = table.name();
            self.event_log.state(format_args!(
                "{name} replaced in a new era, at revision {revision}, from {source}"
            ));
        }
        self.record_era(revision.era);
        let mut changed = applied.changed;
        if table == Table::Servers {
            if era_began {
                self.hold_lost(applied.lost);
            }
            changed.extend(self.settled());
        } else if table == Table::Configuration && era_began {
            self.hold_lost_evacuations(applied.lost);
        }
        if changed.is_empty() && !era_began {
            return;
        }
        if known > Revision::default() {
            // Most gateways learn of changes from other gateways only.
            self.request_urgent_gossip(Reach::DataCentre);
        }
        match table {
            Table::Configuration => {
                self.configure(source);
                self.update_evacuations(source);
            }
            Table::Servers => self.relist(&changed, source),
            // Read when peers are chosen.
            Table::Members => {}
        }
    }

    /// Holds lost rows of the server list until they are written again, or for a limited time.
    fn hold_lost(&self, mut lost: Vec<LostRow>) {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(&Table::Servers) else { return };
        lost.retain(|lost| self.takes_precedence(lost, replica));
        if !lost.is_empty() {
            let keys: Vec<&str> = lost.iter().map(|lost| lost.key.as_str()).collect();
            let line =
                format_args!("rows lost by the store, held for now: servers {}", keys.join(", "));
            self.event_log.state(line);
        }
        self.unconfirmed.borrow_mut().begin(lost, replica, self.now());
        self.rows_lost.notify_one();
    }

    /// Whether the lost value of a row takes precedence over the store's. It does if the store has
    /// no row, or if the value shows that the server is leaving or removed: such a server must get
    /// no requests. A value that shows a ready server does not, since the server may have reported
    /// since then that it is leaving.
    fn takes_precedence(&self, lost: &LostRow, replica: &Replica) -> bool {
        let (Some(known), Some(read)) = (&lost.value, replica.get(&lost.key)) else { return true };
        let leaves = |value| self.platform.listed(&lost.key, value).is_ok_and(|row| row.leaving);
        leaves(known) && !leaves(read)
    }

    /// Servers whose lost rows were written again or have expired.
    fn settled(&self) -> Vec<String> {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(&Table::Servers) else { return Vec::new() };
        self.unconfirmed.borrow_mut().settle(replica, self.now())
    }

    /// Removes lost rows that have expired; returns whether others are held.
    pub fn settle(&self) -> bool {
        let settled = self.settled();
        if !settled.is_empty() {
            self.relist(&settled, "the store's copy");
        }
        !self.unconfirmed.borrow().is_empty()
    }

    /// Records that the store returned a table that is older than the known one.
    pub fn record_stale_table(&self, table: Table, revision: Revision) {
        self.metrics.stale_tables_read.inc();
        self.event_log.state(format_args!(
            "{} read at revision {revision}, known up to {}: ignored",
            table.name(),
            self.revision(table)
        ));
    }

    fn relist(&self, changed: &[String], source: &str) {
        self.list(changed, source);
        self.mark_unlisted_crashed();
    }

    fn list(&self, changed: &[String], source: &str) {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(&Table::Servers) else { return };
        let unconfirmed = self.unconfirmed.borrow();
        let mut pool = self.pool.borrow_mut();
        let now = self.now();
        let mut newly_cold = 0;
        for id in changed {
            let listed =
                unconfirmed.value(id, replica).map(|value| self.platform.listed(id, value));
            match listed {
                Some(Ok(listed)) => {
                    if listed.leaving {
                        self.event_log.state(format_args!("server {id} is leaving, from {source}"));
                    }
                    let cold_for = listed.cold_for;
                    pool.list(listed, replica.revision_of(id));
                    if pool.record_cold(id, cold_for, now) {
                        newly_cold += 1;
                    }
                }
                Some(Err(error)) => {
                    self.record_invalid_row(id, &error);
                    pool.unlist(id);
                }
                None => {
                    self.event_log.state(format_args!("server {id} is gone, from {source}"));
                    pool.unlist(id);
                }
            }
        }
        if newly_cold > 0 {
            self.event_log.state(format_args!("{newly_cold} servers are cold, from {source}"));
            // The share of their limits has to be delegated before permits are requested.
            self.limits_changed.notify_one();
        }
    }

    /// Records an invalid row of the server list: it is counted, and logged once per row up to a
    /// maximum number of rows.
    fn record_invalid_row(&self, id: &str, error: &Malformed) {
        self.metrics.rows_ignored.inc();
        let mut logged = self.ignored_rows_logged.borrow_mut();
        if logged.len() < MAX_IGNORED_ROWS_LOGGED && logged.insert(id.to_owned()) {
            self.event_log.state(format_args!("server row ignored: {error}"));
        }
    }
}
