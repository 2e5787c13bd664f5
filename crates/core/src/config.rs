//! The configuration in force, as a validated snapshot in arenas.
//! Input: the rows of a snapshot, which refer to each other by name.
//! State: services, accounts, backend servers and data centres. Decides which rows are invalid.
//!
//! A [`Config`] exists only if every name resolves, so its users follow keys and need no code for
//! missing rows.

use std::collections::BTreeMap;

use hooktrestle_schema::AccountRow;
use hooktrestle_schema::BackendServerRow;
use hooktrestle_schema::DataCentreRow;
use hooktrestle_schema::ServiceRow;
use hooktrestle_schema::Snapshot;

use crate::rows::RowKind;
use crate::rows::RowName;
use crate::util::arena::Arena;
use crate::util::arena::Key;
use crate::util::hash;

/// A service in force.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Its row.
    pub row: ServiceRow,
    /// Its backend servers.
    pub servers: Vec<Key<BackendServer>>,
}

/// A client account in force.
#[derive(Clone, Debug)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Hash of its name, which is its flow in each fair queue.
    pub hash: u64,
    /// Its row.
    pub row: AccountRow,
}

/// A backend server in force.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Name of its instance.
    pub name: String,
    /// Its row.
    pub row: BackendServerRow,
    /// The service that it serves.
    pub service: Key<Service>,
    /// The data centre that it runs in.
    pub data_centre: Key<DataCentre>,
}

/// A data centre in force.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// Its name.
    pub name: String,
    /// Its row.
    pub row: DataCentreRow,
}

/// A row that cannot be part of a configuration, with the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowFault {
    /// The invalid row.
    pub row: RowName,
    /// The other row that it conflicts with, if there is one.
    pub clashes_with: Option<RowName>,
    /// What is wrong with the row.
    pub message: String,
}

impl RowFault {
    fn of_row(kind: RowKind, name: &str, message: String) -> RowFault {
        RowFault { row: RowName::new(kind, name), clashes_with: None, message }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Its version, which only increases.
    pub version: u64,
    /// All services.
    pub services: Arena<Service>,
    /// All client accounts.
    pub accounts: Arena<Account>,
    /// All backend servers.
    pub servers: Arena<BackendServer>,
    /// All data centres.
    pub data_centres: Arena<DataCentre>,
    service_by_name: BTreeMap<String, Key<Service>>,
    account_by_key_hash: BTreeMap<String, Key<Account>>,
    server_by_name: BTreeMap<String, Key<BackendServer>>,
}

impl Config {
    /// Validates the rows of a snapshot against each other and builds the arenas.
    ///
    /// # Errors
    ///
    /// All invalid rows.
    pub fn check(snapshot: &Snapshot) -> Result<Config, Vec<RowFault>> {
        let mut config = Config { version: snapshot.version, ..Config::default() };
        let mut faults = Vec::new();
        let centres = config.add_data_centres(&snapshot.data_centres);
        config.add_services(&snapshot.services);
        config.add_accounts(&snapshot.accounts, &mut faults);
        config.add_servers(&snapshot.backend_servers, &centres, &mut faults);
        if faults.is_empty() { Ok(config) } else { Err(faults) }
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<Key<Service>> {
        self.service_by_name.get(name).copied()
    }

    /// The account whose key has this SHA-256, in lower-case hexadecimal.
    ///
    /// The lookup compares hashes of keys. So its timing does not help an attacker to find a key:
    /// the hashes of similar keys have no common prefix.
    pub fn account_by_key_hash(&self, sha256_hex: &str) -> Option<Key<Account>> {
        self.account_by_key_hash.get(sha256_hex).copied()
    }

    /// The backend server on this instance.
    pub fn server(&self, name: &str) -> Option<Key<BackendServer>> {
        self.server_by_name.get(name).copied()
    }

    /// Whether operators drain a backend server, either by itself or with its data centre.
    pub fn is_draining(&self, server: Key<BackendServer>) -> bool {
        let server = &self.servers[server];
        server.row.drain || self.data_centres[server.data_centre].row.drain
    }

    fn add_data_centres(
        &mut self,
        rows: &BTreeMap<String, DataCentreRow>,
    ) -> BTreeMap<String, Key<DataCentre>> {
        let mut keys = BTreeMap::new();
        for (name, row) in rows {
            let record = DataCentre { name: name.clone(), row: row.clone() };
            keys.insert(name.clone(), self.data_centres.push(record));
        }
        keys
    }

    fn add_services(&mut self, rows: &BTreeMap<String, ServiceRow>) {
        for (name, row) in rows {
            let record = Service { name: name.clone(), row: row.clone(), servers: Vec::new() };
            let key = self.services.push(record);
            self.service_by_name.insert(name.clone(), key);
        }
    }

    fn add_accounts(&mut self, rows: &BTreeMap<String, AccountRow>, faults: &mut Vec<RowFault>) {
        for (name, row) in rows {
            let key_hash = row.key_sha256_hex.to_ascii_lowercase();
            if key_hash.len() != 64 || !key_hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                let message = "key_sha256_hex: must be 64 hexadecimal digits".to_owned();
                faults.push(RowFault::of_row(RowKind::Account, name, message));
                continue;
            }
            let record = Account { name: name.clone(), hash: hash::of(name), row: row.clone() };
            let key = self.accounts.push(record);
            if let Some(other) = self.account_by_key_hash.insert(key_hash, key) {
                let other = &self.accounts[other].name;
                let message = format!("key_sha256_hex: account `{other}` has the same key");
                let clashes_with = Some(RowName::new(RowKind::Account, other));
                let row = RowName::new(RowKind::Account, name);
                faults.push(RowFault { row, clashes_with, message });
            }
        }
    }

    fn add_servers(
        &mut self,
        rows: &BTreeMap<String, BackendServerRow>,
        centres: &BTreeMap<String, Key<DataCentre>>,
        faults: &mut Vec<RowFault>,
    ) {
        for (name, row) in rows {
            let service = self.service(&row.service);
            let data_centre = centres.get(&row.data_centre).copied();
            match (service, data_centre) {
                (Some(service), Some(data_centre)) => {
                    let name = name.clone();
                    let row = row.clone();
                    self.add_server(BackendServer { name, row, service, data_centre });
                }
                (None, _) => {
                    let message = format!("service: there is no service `{}`", row.service);
                    faults.push(RowFault::of_row(RowKind::BackendServer, name, message));
                }
                (_, None) => {
                    let message =
                        format!("data_centre: there is no data centre `{}`", row.data_centre);
                    faults.push(RowFault::of_row(RowKind::BackendServer, name, message));
                }
            }
        }
    }

    fn add_server(&mut self, server: BackendServer) {
        let service = server.service;
        let name = server.name.clone();
        let key = self.servers.push(server);
        self.services[service].servers.push(key);
        self.server_by_name.insert(name, key);
    }
}
