//! Sidecar process, which runs beside one backend server and passes requests to it.
//! Input: links from gateways, the configuration, and the backend server's answers.
//! State: queue and records of requests ([`dispatch_actor`]). Decides when each request runs.
//!
//! - [`dispatch_actor`]: the actor that owns the dispatcher.
//! - [`group`]: leadership of the group's ranks while this sidecar holds the lease.
//! - [`links`]: accepts links and reads their frames.
//! - [`run`]: runs one request at the backend server.

mod dispatch_actor;
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

pub use dispatch_actor::DispatchActor;

/// Limits that are in force until the configuration sets them.
const INITIAL_MAX_RUNNING: usize = 32;
const INITIAL_MAX_QUEUED: usize = 64;

/// Time for which the records of a gateway without a link are retained for its queries.
const GATEWAY_RETENTION: Millis = Millis(60_000);

/// A running sidecar. Dropping it ends the sidecar and aborts all requests.
#[derive(Debug)]
pub struct Sidecar {
    /// Address on which links are accepted.
    pub address: SocketAddr,
    /// Address of the health and metrics endpoints.
    pub admin_address: SocketAddr,
    actor: Address<DispatchActor>,
    tasks: [AbortHandle; 3],
    traces: Traces,
    config: config_sync::Watch,
}

/// Source of the sidecar's health and metrics.
#[derive(Clone, Debug)]
struct Observer {
    actor: Address<DispatchActor>,
    config: config_sync::Watch,
}

impl Observe for Observer {
    async fn observe(&self) -> Observed {
        let version = config_sync::version(&self.config);
        let Ok(load) = self.actor.send(dispatch_actor::ReadLoad).await else {
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
        let actor = self.actor.clone();
        tokio::spawn(async move { actor.send(dispatch_actor::AbortAll).await });
    }
}

impl Sidecar {
    /// Starts a sidecar.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or a client cannot be set up.
    pub async fn start(settings: &Settings) -> Result<Sidecar> {
        let sidecar =
            settings.sidecar.clone().ok_or_else(|| eyre::eyre!("[sidecar] is missing"))?;
        let process = Process::start(settings).await?;
        let Process { platform, sync_task, config, directory, identity, .. } = process;
        let Process { listener, address, traces, clock, .. } = process;
        let backend = run::Backend::new(&sidecar.backend_url, traces.clone())?;
        let actor = dispatch_actor::start(dispatch_actor::Setup {
            identity: identity.clone(),
            clock,
            limits: limits(&sidecar),
            backend: backend.clone(),
            config: config.clone(),
        });
        let leadership = group::lead(group::Context {
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
            actor: actor.clone(),
            sync_task,
            config: config.clone(),
            heartbeat_interval: settings::millis(settings.links.heartbeat_ms),
        };
        let listening = tokio::spawn(links::accept_all(listener, context)).abort_handle();
        let leadership = tokio::spawn(leadership).abort_handle();
        let observer = Observer { actor: actor.clone(), config: config.clone() };
        let (admin_address, admin) =
            admin::start(&settings.instance.admin_listen, observer).await?;
        info!("sidecar listening", kv: { address: = address.to_string().as_str() });
        Ok(Sidecar {
            address,
            admin_address,
            actor,
            tasks: [listening, leadership, admin],
            traces,
            config,
        })
    }

    /// The configuration in force.
    pub fn config(&self) -> config_sync::Watch {
        self.config.clone()
    }

    /// Leaves: refuses new and queued requests, and waits until the running ones have ended.
    ///
    /// Returns the number of requests that were still running after `within`.
    pub async fn leave(&self, within: Duration) -> usize {
        let unfinished = match self.actor.send(dispatch_actor::Leave).await {
            Ok(running) => drain::until_idle(running, within).await,
            Err(_) => 0,
        };
        self.traces.flush();
        unfinished
    }
}

fn limits(settings: &SidecarSettings) -> dispatch::Config {
    dispatch::Config {
        max_running: INITIAL_MAX_RUNNING,
        max_queued: INITIAL_MAX_QUEUED,
        tickets: ticket_memory::Config {
            retention: Millis(settings.remember_ms),
            max_tickets: settings.remember_tickets as usize,
        },
        gateway_retention: GATEWAY_RETENTION,
    }
}
