//! The process in a backend server's slot: links from gateways in, the backend server behind.
//!
//! - [`desk`]: the actor around the dispatcher.
//! - [`links`]: accepts links and reads their frames.
//! - [`run`]: one request at the backend server.

mod desk;
mod links;
mod run;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use eyre::WrapErr;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::dispatch;
use hooktrestle_core::once;
use hooktrestle_link::Identity;
use hooktrestle_platform::Platform;
use hooktrestle_schema::Settings;
use hooktrestle_schema::SidecarSettings;
use rand::RngExt;
use spdlog::info;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use xtra::Address;

use crate::clock::MonotonicClock;
use crate::config_keeper;
use crate::drain;
use crate::settings;

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
    desk: Address<Desk>,
    listening: AbortHandle,
    config: config_keeper::Watch,
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.listening.abort();
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
        let platform = Platform::new(settings::platform(settings))?;
        let poll = settings::millis(settings.platform.poll_ms);
        let (keeper, config) = config_keeper::start(platform, poll);
        let identity = Identity {
            instance: settings.instance.name.clone(),
            incarnation: rand::rng().random(),
        };
        let listener = TcpListener::bind(&settings.instance.listen)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", settings.instance.listen))?;
        let address = listener.local_addr()?;
        let desk = desk::start(desk::Setup {
            identity: identity.clone(),
            clock: MonotonicClock::default(),
            limits: limits(&sidecar),
            backend: run::Backend::new(&sidecar.backend_url)?,
            config: config.clone(),
        });
        let context = links::Context {
            link: settings::links(settings),
            identity,
            desk: desk.clone(),
            keeper,
            config: config.clone(),
            heartbeat: settings::millis(settings.links.heartbeat_ms),
        };
        let listening = tokio::spawn(links::accept_all(listener, context)).abort_handle();
        info!("sidecar listens", kv: { address: = address.to_string().as_str() });
        Ok(Sidecar { address, desk, listening, config })
    }

    /// The configuration in force here.
    pub fn config(&self) -> config_keeper::Watch {
        self.config.clone()
    }

    /// Leaves: takes nothing new, gives back what waits, and waits for what runs.
    ///
    /// Returns the number of requests still running when `within` had passed.
    pub async fn leave(&self, within: Duration) -> usize {
        match self.desk.send(desk::Leave).await {
            Ok(running) => drain::until_idle(running, within).await,
            Err(_) => 0,
        }
    }
}

fn limits(settings: &SidecarSettings) -> dispatch::Config {
    dispatch::Config {
        most_running: FIRST_MOST_RUNNING,
        most_queued: FIRST_MOST_QUEUED,
        tickets: once::Config {
            remember: Millis(settings.remember_ms),
            most_tickets: settings.remember_tickets as usize,
        },
        remember_gateway: REMEMBER_GATEWAY,
    }
}
