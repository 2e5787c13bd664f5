//! A fleet of gateways, sidecars and backend servers in this process. Input: rows and behaviours.
//! State: the running processes by name. Starts, stops and configures them, and waits until a
//! configuration is in force.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use hooktrestle_core::rows::ROWS;
use hooktrestle_fakes::app::FakeApp;
use hooktrestle_fakes::engine::Behaviour;
use hooktrestle_fakes::engine::FakeEngine;
use hooktrestle_fakes::group::FakeGroup;
use hooktrestle_fakes::platform::FakePlatform;
use hooktrestle_platform::Platform;
use hooktrestle_schema::Instance;
use hooktrestle_schema::InstanceRole;
use hooktrestle_schema::InstanceState;
use hooktrestle_schema::RowCheck;
use hooktrestle_schema::RowWrite;
use hooktrestle_schema::Settings;
use hooktrestled::config_sync;
use hooktrestled::gateway::Gateway;
use hooktrestled::settings;
use hooktrestled::sidecar::Sidecar;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;
use spdlog::Level;
use spdlog::LevelFilter;

/// The shared link key of an embedded fleet.
pub const LINK_KEY: &str = "embedded-link-key";

/// A backend server behind a sidecar.
#[derive(Debug)]
pub enum Backend {
    /// A model engine.
    Engine(FakeEngine),
    /// A plain application service.
    App(FakeApp),
}

/// Intervals at which processes poll the platform and send heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Intervals {
    /// Mean time between two polls of the platform.
    pub poll_ms: u64,
    /// Time between two heartbeats.
    pub heartbeat_ms: u64,
}

/// Gateways, sidecars and backend servers, with a stand-in of the platform.
#[derive(Debug)]
pub struct Fleet {
    /// Intervals of the processes started from now on; shorter than in production unless changed.
    pub intervals: Intervals,
    /// Collector to which processes started from now on send their spans.
    pub otlp_url: Option<String>,
    /// The stand-in of the platform.
    pub fake: FakePlatform,
    /// A client of the platform, as operators use it.
    pub platform: Platform,
    /// Gateways by name.
    pub gateways: BTreeMap<String, Gateway>,
    /// Sidecars by name.
    pub sidecars: BTreeMap<String, Sidecar>,
    /// Backend servers by their sidecar's name.
    pub backends: BTreeMap<String, Backend>,
}

/// SHA-256 of a client account's key, in the form that the account's row holds.
pub fn key_sha256_hex(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Fleet {
    /// Starts a fleet that consists of the platform only.
    ///
    /// # Errors
    ///
    /// There is no free port.
    pub async fn start() -> Result<Fleet> {
        // The log lines of a dozen processes would hide the output of the embedding program.
        spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(Level::Error));
        let fake = FakePlatform::start(loopback()).await?;
        let platform = Platform::new(hooktrestle_platform::Config {
            table_url: fake.url(),
            object_url: fake.url(),
            instances_url: fake.instances_url(),
            timeout: Duration::from_secs(5),
        })?;
        Ok(Fleet {
            intervals: Intervals { poll_ms: 100, heartbeat_ms: 50 },
            otlp_url: None,
            fake,
            platform,
            gateways: BTreeMap::new(),
            sidecars: BTreeMap::new(),
            backends: BTreeMap::new(),
        })
    }

    /// Starts a gateway and adds it to the instance list.
    ///
    /// # Errors
    ///
    /// The gateway cannot start.
    pub async fn add_gateway(&mut self, name: &str, data_centre: &str) -> Result<()> {
        let settings = self.settings(name, "gateway", data_centre, "")?;
        let gateway = Gateway::start(&settings).await?;
        self.list(name, data_centre, InstanceRole::Gateway, gateway.address);
        self.gateways.insert(name.to_owned(), gateway);
        Ok(())
    }

    /// Starts a model engine with its sidecar, and adds the sidecar to the instance list.
    ///
    /// # Errors
    ///
    /// The engine or the sidecar cannot start.
    pub async fn add_engine(
        &mut self,
        name: &str,
        data_centre: &str,
        behaviour: Behaviour,
    ) -> Result<()> {
        let engine = FakeEngine::start(loopback(), behaviour).await?;
        self.add_sidecar(name, data_centre, &engine.url()).await?;
        self.backends.insert(name.to_owned(), Backend::Engine(engine));
        Ok(())
    }

    /// Starts a rank of a group with its sidecar, and adds the sidecar to the instance list.
    ///
    /// # Errors
    ///
    /// The engine or the sidecar cannot start.
    pub async fn add_rank(
        &mut self,
        name: &str,
        data_centre: &str,
        group: &FakeGroup,
        rank: usize,
    ) -> Result<()> {
        let behaviour = Behaviour::default();
        let engine = FakeEngine::start_rank(loopback(), behaviour, group.clone(), rank).await?;
        self.add_sidecar(name, data_centre, &engine.url()).await?;
        self.backends.insert(name.to_owned(), Backend::Engine(engine));
        Ok(())
    }

    /// Starts a plain application service with its sidecar, and adds the sidecar to the instance
    /// list.
    ///
    /// # Errors
    ///
    /// The service or the sidecar cannot start.
    pub async fn add_app(&mut self, name: &str, data_centre: &str) -> Result<()> {
        let app = FakeApp::start(loopback()).await?;
        self.add_sidecar(name, data_centre, &app.url()).await?;
        self.backends.insert(name.to_owned(), Backend::App(app));
        Ok(())
    }

    /// Starts a sidecar for a running backend server, and adds it to the instance list.
    ///
    /// # Errors
    ///
    /// The sidecar cannot start.
    pub async fn add_sidecar(&mut self, name: &str, data_centre: &str, url: &str) -> Result<()> {
        let section = format!(
            "[sidecar]\nbackend_url = {url}\nplan_ms = 60\nlease_ms = 400\n\
             horizon_steps = 40\nswitch_ms = 2000\n"
        );
        let settings = self.settings(name, "sidecar", data_centre, &section)?;
        let sidecar = Sidecar::start(&settings).await?;
        self.list(name, data_centre, InstanceRole::Sidecar, sidecar.address);
        self.sidecars.insert(name.to_owned(), sidecar);
        Ok(())
    }

    /// Replaces a sidecar by a new one without any state, for the same backend server.
    ///
    /// # Errors
    ///
    /// The new one cannot start.
    pub async fn restart_sidecar(&mut self, name: &str, data_centre: &str) -> Result<()> {
        drop(self.sidecars.remove(name));
        let url = match &self.backends[name] {
            Backend::Engine(engine) => engine.url(),
            Backend::App(app) => app.url(),
        };
        self.add_sidecar(name, data_centre, &url).await
    }

    /// A model engine by its sidecar's name.
    ///
    /// # Panics
    ///
    /// If there is no engine with this name.
    pub fn engine(&self, name: &str) -> &FakeEngine {
        match &self.backends[name] {
            Backend::Engine(engine) => engine,
            Backend::App(_) => panic!("{name} is not an engine"),
        }
    }

    /// A plain application service by its sidecar's name.
    ///
    /// # Panics
    ///
    /// If there is no service with this name.
    pub fn app(&self, name: &str) -> &FakeApp {
        match &self.backends[name] {
            Backend::App(app) => app,
            Backend::Engine(_) => panic!("{name} is not an application"),
        }
    }

    /// Writes rows, as an operator does, and overwrites any earlier value; null deletes a row.
    ///
    /// # Errors
    ///
    /// The table service fails, or a row was changed at the same time.
    pub async fn edit(&self, rows: &[(&str, Value)]) -> Result<()> {
        let mut checks = Vec::new();
        let mut writes = Vec::new();
        for (key, value) in rows {
            let old = self.platform.row(ROWS, key).await?;
            let (table, key) = (ROWS.to_owned(), (*key).to_owned());
            let version = old.map_or(0, |row| row.version);
            checks.push(RowCheck { table: table.clone(), key: key.clone(), version });
            writes.push(RowWrite { table, key, value: value.clone() });
        }
        self.platform.transact(checks, writes).await?;
        Ok(())
    }

    /// Waits until a configuration for which `reached` holds is in force in every process.
    pub async fn wait_in_force(&self, reached: impl Fn(&hooktrestle_core::config::Config) -> bool) {
        let gateways = self.gateways.values().map(Gateway::config);
        let sidecars = self.sidecars.values().map(Sidecar::config);
        for mut watch in gateways.chain(sidecars).collect::<Vec<config_sync::Watch>>() {
            // An error means that the process has ended, so it has no configuration in force.
            let _ =
                watch.wait_for(|now| now.as_ref().is_some_and(|now| reached(&now.config))).await;
        }
    }

    /// Waits until every gateway has links to `servers` backend servers of a service.
    pub async fn wait_linked(&self, service: &str, servers: usize) {
        for gateway in self.gateways.values() {
            gateway.wait_linked(service, servers).await;
        }
    }

    /// Base URL of a gateway.
    ///
    /// # Panics
    ///
    /// If there is no gateway of that name.
    pub fn url(&self, gateway: &str) -> String {
        format!("http://{}", self.gateways[gateway].address)
    }

    fn list(&self, name: &str, data_centre: &str, role: InstanceRole, address: SocketAddr) {
        self.fake.list_instance(Instance {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            role,
            address: address.to_string(),
            state: InstanceState::Live,
        });
    }

    /// Settings as a file would hold them, with short durations: all processes are on one machine.
    fn settings(&self, name: &str, role: &str, data_centre: &str, more: &str) -> Result<Settings> {
        let url = self.fake.url();
        let instances_url = self.fake.instances_url();
        let Intervals { poll_ms, heartbeat_ms } = self.intervals;
        let traces = self.otlp_url.as_ref().map_or(String::new(), |url| {
            format!("[traces]\notlp_url = {url}\nsample_percent = 100\n")
        });
        let text = format!(
            "[instance]\nname = {name}\nrole = {role}\ndata_centre = {data_centre}\n\
             listen = 127.0.0.1:0\n\
             [platform]\ntable_url = {url}\nobject_url = {url}\ninstances_url = {instances_url}\n\
             poll_ms = {poll_ms}\n\
             [links]\nkeys = {LINK_KEY}\nheartbeat_ms = {heartbeat_ms}\n\
             [gateway]\nkeep_endpoints_ms = 500\n{more}{traces}"
        );
        Ok(settings::parse(name, &text)?)
    }
}
