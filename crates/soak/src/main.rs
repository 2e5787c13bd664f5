//! `hooktrestle-soak`: runs soak tests of consecutive seeds, one after the other.
//! Input: the command-line flags. State: the number of seeds that failed.
//! Decides the exit code: failure if a guarantee was violated with one of the seeds.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use eyre::Result;
use eyre::ensure;
use eyre::eyre;
use hooktrestle_soak::backends::REPLACEMENT_DELAY;
use hooktrestle_soak::crash_shapes;
use hooktrestle_soak::fleet;
use hooktrestle_soak::ledger::Bounds;
use hooktrestle_soak::retries::RetryBound;
use hooktrestle_soak::run;
use hooktrestle_soak::run::Config;
use hooktrestle_soak::schedule;
use hooktrestle_soak::schedule::FAULT_KINDS;
use hooktrestle_soak::schedule::Fault;
use hooktrestle_soak::schedule::FaultKind;
use hooktrestle_soak::shrink::shrink;

/// Number of seeds from which runs with parts that crash servers are to reach all shapes of these.
const MIN_SEEDS_FOR_SHAPES: u64 = 20;

/// Maximum number of runs to shrink the faults of one seed.
const MAX_SHRINK_RUNS: usize = 24;

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs real gateways under overlapping faults and checks the guarantees of the service.
        /// Exits with 1 if a guarantee was violated.
        cmd hooktrestle-soak {
            /// First seed; default 1. A seed draws the same faults on every run.
            optional --seed seed: u64
            /// Number of seeds to run, one after the other; default 1.
            optional --seeds count: u64
            /// Seconds of traffic for each seed; default 60.
            optional --length-s seconds: u64
            /// Number of gateways; default 3.
            optional --gateways count: usize
            /// Number of backend servers; default 6.
            optional --servers count: usize
            /// Number of callers; default 12.
            optional --callers count: usize
            /// Milliseconds from the removal of the row of a server that crashed while it ran a request
            /// until another one replaces it; default 1500.
            optional --replacement-ms milliseconds: u64
            /// Faults to draw from, separated by commas; default all. `--list-faults` lists them.
            optional --faults names: String
            /// Lists the names of the faults.
            optional --list-faults
            /// Retries that gateways may take in 10 s beyond a fifth of the requests; default 20.
            optional --slack count: u32
            /// Factor by which the time bounds are extended on busy machines; default 1.
            optional --stretch times: u32
            /// Gateway program; default the one in the folder of this program.
            optional --program file: PathBuf
            /// Folder for settings and logs of the gateways; default one in the folder for
            /// temporary files.
            optional --folder folder: PathBuf
            /// File with the faults of all seeds, one a line as `--troubles` prints them, instead of
            /// drawn ones.
            optional --play file: PathBuf
            /// Prints the faults of each seed.
            optional --troubles
            /// Finds the fewest faults with which a failing seed still fails.
            optional --shrink
        }
    }
}

fn main() -> Result<ExitCode> {
    let flags = flags::HooktrestleSoak::from_env_or_exit();
    if flags.list_faults {
        FAULT_KINDS.iter().for_each(|(name, _)| println!("{name}"));
        return Ok(ExitCode::SUCCESS);
    }
    let kinds = kinds(flags.faults.as_deref())?;
    let config = config(&flags)?;
    let given = flags.play.as_deref().map(read_faults).transpose()?;
    let first = flags.seed.unwrap_or(1);
    let mut failed = 0;
    let mut reached: BTreeSet<&str> = BTreeSet::new();
    let seeds = flags.seeds.unwrap_or(1);
    for seed in first..first.saturating_add(seeds) {
        let seed_faults = match &given {
            Some(given) => given.clone(),
            None => schedule::draw(seed, config.length, &kinds),
        };
        let report = run::run(&config, seed, &seed_faults)?;
        println!("seed {seed}: {} faults, {report}", seed_faults.len());
        reached.extend(&report.reached_shapes);
        if flags.troubles {
            print_faults(&seed_faults);
        }
        if report.violations.is_empty() {
            continue;
        }
        failed += 1;
        if flags.shrink {
            let fails = |subset: &[Fault]| {
                run::run(&config, seed, subset).is_ok_and(|report| !report.violations.is_empty())
            };
            println!("  still fails with:");
            print_faults(&shrink(&seed_faults, MAX_SHRINK_RUNS, fails));
        }
    }
    let draws_shapes = given.is_none() && kinds.contains(&FaultKind::CrashingPart);
    if draws_shapes && seeds >= MIN_SEEDS_FOR_SHAPES {
        let missing: Vec<&str> =
            crash_shapes::labels().filter(|label| !reached.contains(label)).collect();
        if !missing.is_empty() {
            println!("shapes that no seed reached: {}", missing.join(", "));
            failed += 1;
        }
    }
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print_faults(seed_faults: &[Fault]) {
    seed_faults.iter().for_each(|fault| println!("  {fault}"));
}

fn read_faults(file: &Path) -> Result<Vec<Fault>> {
    let text = fs::read_to_string(file)?;
    text.lines().map(|line| line.parse().map_err(|error: String| eyre!(error))).collect()
}

fn kinds(names: Option<&str>) -> Result<Vec<FaultKind>> {
    match names {
        Some(names) => names
            .split(',')
            .map(|name| name.parse().map_err(|error: String| eyre!(error)))
            .collect(),
        None => Ok(FAULT_KINDS.iter().map(|(_, kind)| *kind).collect()),
    }
}

fn config(flags: &flags::HooktrestleSoak) -> Result<Config> {
    let config = Config {
        program: fleet::program(flags.program.clone())?,
        folder: flags.folder.clone().unwrap_or_else(default_folder),
        length: Duration::from_secs(flags.length_s.unwrap_or(60)),
        gateways: flags.gateways.unwrap_or(3),
        servers: flags.servers.unwrap_or(6),
        callers: flags.callers.unwrap_or(12),
        replacement_delay: flags.replacement_ms.map_or(REPLACEMENT_DELAY, Duration::from_millis),
        bounds: Bounds::scaled(flags.stretch.unwrap_or(1)),
        retries: RetryBound { slack: flags.slack.unwrap_or(20), ..RetryBound::default() },
    };
    ensure!(config.gateways > 0, "--gateways must be 1 or more");
    ensure!(config.servers > 0, "--servers must be 1 or more");
    ensure!(
        config.length > schedule::FAULT_FREE_END,
        "--length-s must be more than {:?}",
        schedule::FAULT_FREE_END
    );
    Ok(config)
}

fn default_folder() -> PathBuf {
    std::env::temp_dir().join(format!("hooktrestle-soak-{}", std::process::id()))
}
