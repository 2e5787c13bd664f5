//! The `hooktrestled` binary. It reads a settings file and runs a gateway or a sidecar until
//! SIGTERM or SIGINT. Its exit code is 2 for missing or invalid settings, 1 if it could not start
//! or if requests were still in flight when `stop_within_ms` had passed, and 0 otherwise.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::Result;
use hooktrestle_schema::DaemonRole;
use hooktrestle_schema::Settings;
use hooktrestled::gateway::Gateway;
use hooktrestled::settings;
use hooktrestled::sidecar::Sidecar;
use spdlog::info;
use spdlog::warn;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// The daemon of hooktrestle: a gateway or a sidecar, according to its settings.
        cmd hooktrestled {
            /// INI file with the settings.
            optional --settings file: PathBuf
            /// Checks the settings and exits.
            optional --check
            /// Prints the version.
            optional --version
        }
    }
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let flags = flags::Hooktrestled::from_env_or_exit();
    if flags.version {
        println!("hooktrestled {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    let Some(path) = flags.settings else {
        eprintln!("--settings FILE is missing");
        return Ok(ExitCode::from(2));
    };
    match load(path) {
        Some(_) if flags.check => Ok(ExitCode::SUCCESS),
        Some(settings) => run(&settings).await,
        None => Ok(ExitCode::from(2)),
    }
}

fn load(path: PathBuf) -> Option<Settings> {
    match settings::load(&path) {
        Ok(settings) => Some(settings),
        Err(error) => {
            eprintln!("{error}");
            None
        }
    }
}

async fn run(settings: &Settings) -> Result<ExitCode> {
    let within = std::time::Duration::from_millis(settings.instance.stop_within_ms);
    let unfinished = match settings.instance.role {
        DaemonRole::Gateway => {
            let gateway = Gateway::start(settings).await?;
            wait_for_stop().await?;
            gateway.leave(within).await
        }
        DaemonRole::Sidecar => {
            let sidecar = Sidecar::start(settings).await?;
            wait_for_stop().await?;
            sidecar.leave(within).await
        }
    };
    if unfinished > 0 {
        warn!("stopped with requests in flight", kv: { unfinished });
        return Ok(ExitCode::FAILURE);
    }
    info!("stopped; all requests had ended");
    Ok(ExitCode::SUCCESS)
}

async fn wait_for_stop() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!("stopping");
    Ok(())
}
