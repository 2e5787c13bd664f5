//! News of the platform's tables, from the store or from other gateways, brought into force.

use hooktrestle_core::direct::replica::Replica;
use hooktrestle_core::direct::replica::Revision;
use hooktrestle_core::direct::replica::Update;

use crate::gateway::Gateway;
use crate::gateway::findings::Reach;
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
    pub fn take(&self, table: Table, update: &Update, source: &'static str) {
        let known = self.revision(table);
        if table == Table::Configuration && update.revision.era > known.era {
            self.keep_configuration();
        }
        let taken = match self.replicas.borrow_mut().get_mut(&table) {
            Some(replica) => replica.take(update),
            None => return,
        };
        let era_began = self.revision(table).era > known.era;
        if era_began {
            let (name, revision) = (table.name(), update.revision);
            self.journal.state(format_args!("{name} taken at {revision}, from {source}"));
        }
        if taken.changed.is_empty() && !era_began {
            return;
        }
        if known > Revision::default() {
            // Most gateways hear of changes from each other alone.
            self.hand_on(Reach::Near);
        }
        match table {
            Table::Configuration => self.configure(source),
            Table::Servers => self.relist(&taken.changed, source),
            // Read when peers are chosen.
            Table::Members => {}
        }
    }

    /// The store told a table that is older than what is known of it.
    pub fn note_old_table(&self, table: Table, revision: Revision) {
        self.metrics.tables_read_old.inc();
        self.journal.state(format_args!(
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
        let mut pool = self.pool.borrow_mut();
        for id in changed {
            let listed = replica.get(id).map(|value| self.platform.listed(id, value));
            match listed {
                Some(Ok(listed)) => {
                    if listed.leaving {
                        self.journal.state(format_args!("server {id} is leaving, from {source}"));
                    }
                    pool.list(listed, replica.revision_of(id));
                }
                Some(Err(error)) => {
                    self.note_no_server(id, &error);
                    pool.unlist(id);
                }
                None => {
                    self.journal.state(format_args!("server {id} is gone, from {source}"));
                    pool.unlist(id);
                }
            }
        }
    }

    /// A row of the list names no server: counted, and logged once a row, for so many rows.
    fn note_no_server(&self, id: &str, error: &Malformed) {
        self.metrics.rows_passed_over.inc();
        let mut told = self.passed_over.borrow_mut();
        if told.len() < MOST_PASSED_OVER_TOLD && told.insert(id.to_owned()) {
            self.journal.state(format_args!("server passed over: {error}"));
        }
    }
}
