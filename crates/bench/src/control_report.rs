//! Report of `hooktrestle-bench control`. Input: the measurements of the sizes below. It holds no
//! state. Prints each measurement, the fitted costs, and their extrapolation to the target size.

use eyre::Result;
use hooktrestle_bench::control::Fit;
use hooktrestle_bench::control::Point;
use hooktrestle_bench::control::Size;
use hooktrestle_bench::control::fit;
use hooktrestle_bench::control::measure;

/// Sizes for the cost of nodes and links.
const SIZES: [Size; 7] = [
    Size { gateways: 1, sidecars: 1, accounts: 10 },
    Size { gateways: 1, sidecars: 16, accounts: 10 },
    Size { gateways: 16, sidecars: 1, accounts: 10 },
    Size { gateways: 4, sidecars: 8, accounts: 10 },
    Size { gateways: 8, sidecars: 16, accounts: 10 },
    Size { gateways: 16, sidecars: 16, accounts: 10 },
    Size { gateways: 24, sidecars: 16, accounts: 10 },
];

/// Sizes for the cost of client accounts.
const ACCOUNTS: [Size; 3] = [
    Size { gateways: 4, sidecars: 8, accounts: 100 },
    Size { gateways: 4, sidecars: 8, accounts: 1_000 },
    Size { gateways: 4, sidecars: 8, accounts: 4_000 },
];

/// Target size.
const GATEWAYS: f64 = 360.0;
const SIDECARS: f64 = 630.0;
const SERVICES: f64 = 14.0;
const GATEWAYS_PER_SERVICE: f64 = hooktrestle_core::subset::GATEWAYS_PER_SERVICE as f64;
const SERVERS_PER_GATEWAY: f64 = hooktrestle_core::subset::SERVERS_PER_GATEWAY as f64;

/// Measures and prints everything.
pub(crate) fn print() -> Result<()> {
    println!("gateways sidecars links accounts   B/s  core%   MB  reads/s");
    // Accounts first, since the process does not release memory that earlier sizes used.
    let accounts = run(&ACCOUNTS)?;
    let idle = &run(&SIZES)?;
    let bytes = fit(idle, |point| point.bytes_per_s)?;
    let core = fit(idle, |point| point.core_fraction)?;
    let reads = fit(idle, |point| point.reads_per_s)?;
    slopes("bytes/s", &bytes);
    slopes("core share", &core);
    slopes("reads/s", &reads);
    target(&bytes, &core, &reads);
    let (few, many) = (&accounts[0], &accounts[accounts.len() - 1]);
    let nodes = (few.size.gateways + few.size.sidecars) as f64;
    let more = (many.size.accounts - few.size.accounts) as f64;
    println!(
        "accounts: {:.0} bytes of memory for each account and node",
        (many.memory_bytes - few.memory_bytes) / more / nodes
    );
    Ok(())
}

/// Measures each size in a separate runtime, whose end stops all its tasks.
fn run(sizes: &[Size]) -> Result<Vec<Point>> {
    let mut points = Vec::new();
    for size in sizes {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        let point = runtime.block_on(measure(*size))?;
        line(&point);
        points.push(point);
    }
    Ok(points)
}

fn line(point: &Point) {
    println!(
        "{:>8} {:>8} {:>5} {:>8} {:>5.0} {:>6.2} {:>4.0} {:>8.1}",
        point.size.gateways,
        point.size.sidecars,
        point.size.links(),
        point.size.accounts,
        point.bytes_per_s,
        point.core_fraction * 100.0,
        point.memory_bytes / 1e6,
        point.reads_per_s
    );
}

fn slopes(what: &str, fit: &Fit) {
    let [constant, gateway, sidecar, link] = fit.terms;
    println!(
        "{what}: {constant:.4} + {gateway:.4} a gateway + {sidecar:.4} a sidecar + {link:.4} a link; \
         worst deviation {:.1}% of the largest point",
        fit.max_deviation * 100.0
    );
}

/// Extrapolates to the target size. Bytes of a link count at both ends, since each sent byte is
/// also received.
fn target(bytes: &Fit, core: &Fit, reads: &Fit) {
    let links = SERVICES * GATEWAYS_PER_SERVICE * SERVERS_PER_GATEWAY;
    let (of_gateway, of_sidecar) = (links / GATEWAYS, links / SIDECARS);
    println!(
        "target: {links:.0} links, {of_gateway:.1} at a gateway, {of_sidecar:.1} at a sidecar"
    );
    let cost = |fit: &Fit, own: f64, links: f64| own + fit.terms[3] * links;
    println!(
        "target: a gateway {:.0} B/s, {:.2}% of a core; a sidecar {:.0} B/s, {:.2}% of a core; \
         store {:.0} reads/s",
        cost(bytes, bytes.terms[1], of_gateway),
        100.0 * cost(core, core.terms[1], of_gateway / 2.0),
        cost(bytes, bytes.terms[2], of_sidecar),
        100.0 * cost(core, core.terms[2], of_sidecar / 2.0),
        reads.terms[1].max(0.0) * GATEWAYS + reads.terms[2].max(0.0) * SIDECARS,
    );
}
