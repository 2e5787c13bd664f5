//! News of the platform's tables, from the store or from other gateways, brought into force.

use hooktrestle_core::direct::replica::LostRow;
use hooktrestle_core::direct::replica::Replica;
use hooktrestle_core::direct::replica::Revision;
use hooktrestle_core::direct::replica::Update;

use crate::gateway::Gateway;
use crate::gateway::slow_servers::Reach;
use crate::platform::Malformed;
use crate::platform::Platform;
use crate::platform::Table;

/// Rows that name no server and are told in the log, in the life of a process: another writer may put
/// any number there.
const MOST_PASSED_OVER_TOLD: usize = 64;

impl<P: Platform> Gateway<P> {
    /// How much is known of a table.
    pub fn revision(&self, table: Table) -> Revision {
        self.replicas.borrow().get(&table).map(Replica::revision).unwrap_or_default()
    }

    /// Whether anything is known of a table.
    pub fn knows(&self, table: Table) -> bool {
        self.revision(table) > Revision::default()
    }

    /// What another gateway lacks of a table.
    pub fn since(&self, table: Table, revision: Revision) -> Option<Update> {
        self.replicas.borrow().get(&table)?.since(revision)
    }

    /// Takes news of a table, from the store or from another gateway, and brings it into force.
    pub fn apply_update(&self, table: Table, update: &Update, source: &'static str) {
        let known = self.revision(table);
        if table == Table::Configuration && update.revision.era > known.era {
            self.retain_configuration();
        }
        let taken = match self.replicas.borrow_mut().get_mut(&table) {
            Some(replica) => replica.apply(update),
            None => return,
        };
        let revision = self.revision(table);
        let era_began = revision.era > known.era;
        if era_began {
            let name = table.name();
            self.event_log.state(format_args!("{name} taken at {revision}, from {source}"));
        }
        self.note_era(revision.era);
        let mut changed = taken.changed;
        if table == Table::Servers {
            if era_began {
                self.keep_lost(taken.lost);
            }
            changed.extend(self.settled());
        }
        if changed.is_empty() && !era_began {
            return;
        }
        if known > Revision::default() {
            // Most gateways hear of changes from each other alone.
            self.request_urgent_gossip(Reach::DataCentre);
        }
        match table {
            Table::Configuration => self.configure(source),
            Table::Servers => self.relist(&changed, source),
            // Read when peers are chosen.
            Table::Members => {}
        }
    }

    /// What is lost of the list of servers holds until it is written again, or for a while.
    fn keep_lost(&self, mut lost: Vec<LostRow>) {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(&Table::Servers) else { return };
        lost.retain(|lost| self.holds(lost, replica));
        if !lost.is_empty() {
            let keys: Vec<&str> = lost.iter().map(|lost| lost.key.as_str()).collect();
            let line = format_args!("lost to the store, held for now: servers {}", keys.join(", "));
            self.event_log.state(line);
        }
        self.unconfirmed.borrow_mut().begin(lost, replica, self.now());
        self.rows_lost.notify_one();
    }

    /// Whether a lost row holds against the one that the store tells: a server that leaves or is gone takes no
    /// more work, while one that was ready may have said since that it leaves.
    fn holds(&self, lost: &LostRow, replica: &Replica) -> bool {
        let (Some(known), Some(told)) = (&lost.value, replica.get(&lost.key)) else { return true };
        let leaves = |value| self.platform.listed(&lost.key, value).is_ok_and(|row| row.leaving);
        leaves(known) && !leaves(told)
    }

    /// Servers whose rows were written again, or were waited for in vain.
    fn settled(&self) -> Vec<String> {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(&Table::Servers) else { return Vec::new() };
        self.unconfirmed.borrow_mut().settle(replica, self.now())
    }

    /// Lets go of rows that were waited for in vain; whether others are waited for.
    pub fn settle(&self) -> bool {
        let settled = self.settled();
        if !settled.is_empty() {
            self.relist(&settled, "the store's copy");
        }
        !self.unconfirmed.borrow().is_empty()
    }

    /// The store told a table that is older than what is known of it.
    pub fn note_old_table(&self, table: Table, revision: Revision) {
        self.metrics.stale_tables_read.inc();
        self.event_log.state(format_args!(
            "{} read at revision {revision}, known up to {}: passed over",
            table.name(),
            self.revision(table)
        ));
    }

    fn relist(&self, changed: &[String], source: &str) {
        self.list(changed, source);
        self.note_unlisted();
    }

    fn list(&self, changed: &[String], source: &str) {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(&Table::Servers) else { return };
        let unconfirmed = self.unconfirmed.borrow();
        let mut pool = self.pool.borrow_mut();
        for id in changed {
            let listed =
                unconfirmed.value(id, replica).map(|value| self.platform.listed(id, value));
            match listed {
                Some(Ok(listed)) => {
                    if listed.leaving {
                        self.event_log.state(format_args!("server {id} is leaving, from {source}"));
                    }
                    pool.list(listed, replica.revision_of(id));
                }
                Some(Err(error)) => {
                    self.note_no_server(id, &error);
                    pool.unlist(id);
                }
                None => {
                    self.event_log.state(format_args!("server {id} is gone, from {source}"));
                    pool.unlist(id);
                }
            }
        }
    }

    /// A row of the list names no server: counted, and logged once a row, for so many rows.
    fn note_no_server(&self, id: &str, error: &Malformed) {
        self.metrics.rows_ignored.inc();
        let mut told = self.ignored_rows_logged.borrow_mut();
        if told.len() < MOST_PASSED_OVER_TOLD && told.insert(id.to_owned()) {
            self.event_log.state(format_args!("server passed over: {error}"));
        }
    }
}
