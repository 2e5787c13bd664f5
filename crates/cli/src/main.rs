//! `hooktrestle`: the operators' command-line tool.
//!
//! Its input is the command line; it holds no state. It reads and writes rows of the platform's
//! table, from which all configuration follows, shows which configuration is in force, and explains
//! requests from log lines.
//!
//! Exit status: 0 done; 1 refused or failed, with the reason on standard error; 2 invalid command
//! line; 3 (`--wait`, `status`) not in force in every data centre.

mod explain;
mod flags;
mod rows;
mod status;

use std::process::ExitCode;
use std::time::Duration;

use eyre::Result;
use hooktrestle_platform::Platform;

use crate::flags::HooktrestleCmd;

/// Longest wait for one response of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Hooktrestle::from_env_or_exit();
    match run(flags).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hooktrestle: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(flags: flags::Hooktrestle) -> Result<ExitCode> {
    let url = flags.platform.unwrap_or_else(|| "http://127.0.0.1:7400".to_owned());
    // Built on demand: `explain` reads log files only.
    let platform = || {
        Platform::new(hooktrestle_platform::Config {
            table_url: url.clone(),
            object_url: url.clone(),
            instances_url: format!("{url}/v1/instances"),
            timeout: PLATFORM_TIMEOUT,
        })
    };
    match flags.subcommand {
        HooktrestleCmd::Get(get) => rows::get(&platform()?, &get.row).await,
        HooktrestleCmd::Set(set) => {
            let options = rows::EditOptions { dry_run: set.dry_run, wait: set.wait };
            rows::set(&platform()?, &set.row, &set.fields, options).await
        }
        HooktrestleCmd::Drain(drain) => {
            let options = rows::EditOptions { dry_run: false, wait: drain.wait };
            rows::set(&platform()?, &drain.row, &["drain=true".to_owned()], options).await
        }
        HooktrestleCmd::Undrain(undrain) => {
            let options = rows::EditOptions { dry_run: false, wait: undrain.wait };
            rows::set(&platform()?, &undrain.row, &["drain=false".to_owned()], options).await
        }
        HooktrestleCmd::Status(flags) => status::print(&platform()?, flags.json).await,
        HooktrestleCmd::Explain(explain) => {
            explain::print(&explain.id, &explain.files, explain.json)
        }
        HooktrestleCmd::Export(_) => rows::export(&platform()?).await,
        HooktrestleCmd::Import(import) => rows::import(&platform()?, &import.file).await,
    }
}
