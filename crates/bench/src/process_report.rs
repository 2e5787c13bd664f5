//! Reports of `hooktrestle-bench path`, `switch` and `config`. Input: the measurements. They hold
//! no state. Each prints a table or one line.

use eyre::Result;
use hooktrestle_bench::path;
use hooktrestle_bench::path::PathTimes;
use hooktrestle_bench::switch;
use hooktrestle_bench::switch::Fault;
use tokio::runtime::Runtime;

/// Number of configurations whose time is measured.
const CONFIG_ROUNDS: u32 = 30;

/// Prints the measurements of direct calls and of calls through gateway and sidecar, and their
/// ratios.
pub(crate) fn path() -> Result<()> {
    let [direct, through] = Runtime::new()?.block_on(path::measure())?;
    println!("way      first byte p50 us   p99 us   calls/s   streamed tokens/s");
    let line = |name: &str, times: &PathTimes| {
        println!(
            "{name:<8} {:>17} {:>8} {:>9.0} {:>19.0}",
            times.first_p50_us, times.first_p99_us, times.calls_per_s, times.tokens_per_s
        );
    };
    line("direct", &direct);
    line("through", &through);
    println!(
        "path: first_p50_ratio={:.2} first_p99_ratio={:.2} calls_ratio={:.2} tokens_ratio={:.2}",
        through.first_p50_us as f64 / direct.first_p50_us as f64,
        through.first_p99_us as f64 / direct.first_p99_us as f64,
        through.calls_per_s / direct.calls_per_s,
        through.tokens_per_s / direct.tokens_per_s,
    );
    Ok(())
}

/// Prints the steps that ran and were held with each fault.
pub(crate) fn switch() -> Result<()> {
    println!("trouble        steps   held  maps  steps with a fault");
    for fault in [Fault::None, Fault::FailedLoads, Fault::Restarts] {
        let steps = Runtime::new()?.block_on(switch::measure(fault))?;
        println!(
            "{:<12} {:>7} {:>6} {:>5} {:>19}",
            format!("{fault:?}"),
            steps.run,
            steps.held,
            steps.map_version,
            steps.faults.len()
        );
    }
    Ok(())
}

/// Prints the times from a write until it is in force.
pub(crate) fn config() -> Result<()> {
    let times_s = Runtime::new()?.block_on(switch::in_force(CONFIG_ROUNDS))?;
    let at = |fraction: f64| times_s[((times_s.len() - 1) as f64 * fraction).round() as usize];
    println!("config: p50={:.2} s p95={:.2} s max={:.2} s", at(0.5), at(0.95), at(1.0));
    Ok(())
}
