//! Start of a process, common to both roles. The input is the settings; the result is the listener,
//! the platform client, the instance's identity, and running tasks that follow the configuration
//! and the instance list. It decides nothing but the random incarnation.

use std::net::SocketAddr;

use eyre::Result;
use eyre::WrapErr;
use hooktrestle_clock::ProcessClock;
use hooktrestle_link::Identity;
use hooktrestle_platform::Platform;
use hooktrestle_schema::Settings;
use rand::RngExt;
use tokio::net::TcpListener;
use xtra::Address;

use crate::config_sync;
use crate::config_sync::ConfigSync;
use crate::directory;
use crate::settings;
use crate::traces::Traces;

/// The parts that both roles use.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) platform: Platform,
    pub(crate) sync_task: Address<ConfigSync>,
    pub(crate) config: config_sync::Watch,
    pub(crate) directory: directory::Watch,
    pub(crate) identity: Identity,
    pub(crate) listener: TcpListener,
    pub(crate) address: SocketAddr,
    pub(crate) traces: Traces,
    pub(crate) clock: ProcessClock,
}

impl Process {
    /// Binds the listener, and starts the tasks that follow the configuration and the instance
    /// list.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or a client cannot be set up.
    pub(crate) async fn start(settings: &Settings) -> Result<Process> {
        let instance = &settings.instance;
        let platform = Platform::new(settings::platform(settings))?;
        let poll = settings::millis(settings.platform.poll_ms);
        let (sync_task, config) = config_sync::start(platform.clone(), poll);
        let listener = TcpListener::bind(&instance.listen)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", instance.listen))?;
        Ok(Process {
            directory: directory::start(platform.clone(), poll),
            identity: Identity {
                instance: instance.name.clone(),
                incarnation: rand::rng().random(),
            },
            address: listener.local_addr()?,
            traces: Traces::new(settings.traces.as_ref(), &instance.name)?,
            clock: ProcessClock::default(),
            platform,
            sync_task,
            config,
            listener,
        })
    }
}
