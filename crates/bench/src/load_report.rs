//! Report of `hooktrestle-bench load`. Input: the program of the gateway. It holds no state. Prints
//! the latencies of each series, and the cost of requests and streams.

use std::path::PathBuf;
use std::time::Duration;

use eyre::Result;
use hooktrestle_bench::load;
use hooktrestle_bench::load::Config;
use hooktrestle_soak::fleet;

/// Microseconds of processor time of one core in a second.
const CORE_US: f64 = 1_000_000.0;

/// Measures and prints.
pub(crate) fn print(program: Option<PathBuf>) -> Result<()> {
    let config = Config {
        program: fleet::program(program)?,
        folder: std::env::temp_dir().join(format!("hooktrestle-load-{}", std::process::id())),
        rates_per_s: vec![100, 400, 1_600],
        series: Duration::from_secs(10),
        streams: 400,
        // Streams of two seconds, half of the time that the route allows.
        events: 100,
    };
    let (all, streams) = load::measure(&config)?;
    println!(
        "requests/s  way         p50 us   p99 us  p99.9 us  failed  processor us  requests/s a core"
    );
    for series in &all {
        let ways = [("direct", &series.direct_us), ("through", &series.through_us)];
        for (way, times_us) in ways {
            let at = |quantile| times_us.value_at_quantile(quantile);
            let [middle, high, highest] = [at(0.5), at(0.99), at(0.999)];
            print!("{:>10}  {way:<9}{middle:>9}{high:>9}{highest:>10}", series.rate_per_s);
            match way {
                "direct" => println!(),
                _ => println!(
                    "{:>8}{:>14.0}{:>19.0}",
                    series.failed,
                    series.processor_us,
                    CORE_US / series.processor_us
                ),
            }
        }
    }
    println!(
        "streams: {} of {} whole, {:.0} bytes of memory each while open, {:.1} us of processor an event",
        streams.whole, streams.count, streams.bytes, streams.processor_us
    );
    Ok(())
}
