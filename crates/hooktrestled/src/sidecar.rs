//! The process in a backend server's slot: links from gateways in, the backend server behind.
//!
//! - [`desk`]: the actor around the dispatcher.
//! - [`group`]: leads the group's ranks, if this sidecar holds the lease.
//! - [`links`]: accepts links and reads their frames.
//! - [`run`]: one request at the backend server.

mod desk;
mod group;
mod links;
mod run;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::dispatch;
use hooktrestle_core::ticket_memory;
use hooktrestle_schema::Settings;
use hooktrestle_schema::SidecarSettings;
use spdlog::info;
use tokio::task::AbortHandle;
use xtra::Address;

use crate::admin;
use crate::admin::Observe;
use crate::admin::Observed;
use crate::admin::Sample;
use crate::config_sync;
use crate::drain;
use crate::process::Process;
use crate::settings;
use crate::traces::Traces;

pub use desk::Desk;

/// Limits before the configuration has said any.
const FIRST_MOST_RUNNING: usize = 32;
const FIRST_MOST_QUEUED: usize = 64;

/// How long the records of a gateway that has gone are kept for its questions.
const REMEMBER_GATEWAY: Millis = Millis(60_000);

/// A running sidecar; it ends, cutting everything off, when this is dropped.
#[derive(Debug)]
pub struct Sidecar {
    /// Where links connect.
    pub address: SocketAddr,
    /// Where operators ask for health and metrics.
    pub admin_address: SocketAddr,
    desk: Address<Desk>,
    tasks: [AbortHandle; 3],
    traces: Traces,
    config: config_sync::Watch,
}

/// A sidecar as operators observe it.
#[derive(Clone, Debug)]
struct Observer {
    desk: Address<Desk>,
    config: config_sync::Watch,
}

impl Observe for Observer {
    async fn observe(&self) -> Observed {
        let version = config_sync::version(&self.config);
        let Ok(load) = self.desk.send(desk::ReadLoad).await else {
            return Observed { is_ready: false, samples: Vec::new() };
        };
        let samples = vec![
            Sample::config_version(version),
            Sample {
                name: "queued_requests",
                help: "Requests that wait for the backend server",
                value: i64::from(load.queued_requests),
            },
            Sample {
                name: "running_requests",
                help: "Requests that run at the backend server",
                value: i64::from(load.running_requests),
            },
        ];
        Observed { is_ready: version.is_some() && !load.leaving, samples }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        let desk = self.desk.clone();
        tokio::spawn(async move { desk.send(desk::CutOff).await });
    }
}

impl Sidecar {
    /// Starts a sidecar.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or a client cannot be set up.
    pub async fn start(settings: &Settings) -> Result<Sidecar> {
        let sidecar =
            settings.sidecar.clone().ok_or_else(|| eyre::eyre!("[sidecar] is missing"))?;
        let process = Process::start(settings).await?;
        let Process { platform, sync_task, config, directory, identity, .. } = process;
        let Process { listener, address, traces, clock, .. } = process;
        let backend = run::Backend::new(&sidecar.backend_url, traces.clone())?;
        let desk = desk::start(desk::Setup {
            identity: identity.clone(),
            clock,
            limits: limits(&sidecar),
            backend: backend.clone(),
            config: config.clone(),
        });
        let leading = group::lead(group::Context {
            platform,
            link: settings::links(settings),
            identity: identity.clone(),
            config: config.clone(),
            directory,
            backend: backend.clone(),
            clock,
            settings: sidecar.clone(),
        });
        let context = links::Context {
            link: settings::links(settings),
            backend,
            identity,
            desk: desk.clone(),
            sync_task,
            config: config.clone(),
            heartbeat: settings::millis(settings.links.heartbeat_ms),
        };
        let listening = tokio::spawn(links::accept_all(listener, context)).abort_handle();
        let leading = tokio::spawn(leading).abort_handle();
        let observer = Observer { desk: desk.clone(), config: config.clone() };
        let (admin_address, admin) =
            admin::start(&settings.instance.admin_listen, observer).await?;
        info!("sidecar listens", kv: { address: = address.to_string().as_str() });
        Ok(Sidecar {
            address,
            admin_address,
            desk,
            tasks: [listening, leading, admin],
            traces,
            config,
        })
    }

    /// The configuration in force here.
    pub fn config(&self) -> config_sync::Watch {
        self.config.clone()
    }

    /// Leaves: takes nothing new, gives back what waits, and waits for what runs.
    ///
    /// Returns the number of requests still running when `within` had passed.
    pub async fn leave(&self, within: Duration) -> usize {
        let cut_off = match self.desk.send(desk::Leave).await {
            Ok(running) => drain::until_idle(running, within).await,
            Err(_) => 0,
        };
        self.traces.flush();
        cut_off
    }
}

fn limits(settings: &SidecarSettings) -> dispatch::Config {
    dispatch::Config {
        max_running: FIRST_MOST_RUNNING,
        max_queued: FIRST_MOST_QUEUED,
        tickets: ticket_memory::Config {
            retention: Millis(settings.remember_ms),
            max_tickets: settings.remember_tickets as usize,
        },
        gateway_retention: REMEMBER_GATEWAY,
    }
}
