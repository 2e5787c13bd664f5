//! Cost of the control traffic of a node. Input: numbers of gateways, sidecars and client accounts.
//! State: one fleet for each size. Measures bytes, processor time, memory and reads of the table
//! service, and fits the cost of each gateway, sidecar and link by least squares.
//!
//! All nodes run as tasks of this process with the intervals of the default settings, and serve no
//! requests. Bytes are those of the loopback interface, with headers and acknowledgements. The
//! machine must have no other load.

use std::fs;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::eyre;
use hooktrestle_embedded::Fleet;
use hooktrestle_embedded::Intervals;
use hooktrestle_embedded::key_sha256_hex;
use hooktrestle_fakes::engine::Behaviour;
use serde_json::Value;
use serde_json::json;

/// Length of the measurement of each point.
const MEASUREMENT: Duration = Duration::from_secs(12);

/// Clock ticks a second, the kernel's unit of processor time.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Intervals of the default settings.
const DEFAULT_INTERVALS: Intervals = Intervals { poll_ms: 1_500, heartbeat_ms: 2_000 };

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Gateways.
    pub gateways: usize,
    /// Sidecars, all of one service: each gateway has a link to each sidecar.
    pub sidecars: usize,
    /// Client accounts.
    pub accounts: usize,
}

/// Measurement at one size.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Size of the fleet.
    pub size: Size,
    /// Bytes a second over the loopback interface, each counted once.
    pub bytes_per_s: f64,
    /// Processor time, as a fraction of one core.
    pub core_fraction: f64,
    /// Resident memory of the whole process, in bytes.
    pub memory_bytes: f64,
    /// Reads of the table service and object store a second.
    pub reads_per_s: f64,
}

/// Cost of each gateway, sidecar and link, and the constant part.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// Constant term, and terms for each gateway, sidecar and link.
    pub terms: [f64; 4],
    /// Largest deviation of a point from the fit, relative to the largest point.
    pub max_deviation: f64,
}

impl Size {
    /// Links at this size.
    pub fn links(&self) -> usize {
        self.gateways * self.sidecars
    }

    fn row(&self) -> [f64; 4] {
        [1.0, self.gateways as f64, self.sidecars as f64, self.links() as f64]
    }
}

/// Measures one size.
///
/// # Errors
///
/// The fleet cannot start, or the kernel's counters cannot be read.
pub async fn measure(size: Size) -> Result<Point> {
    let mut fleet = Fleet::start().await?;
    fleet.intervals = DEFAULT_INTERVALS;
    for number in 0..size.gateways {
        fleet.add_gateway(&format!("entry-{number}"), "dc-1").await?;
    }
    let mut rows = vec![
        ("data_centre:dc-1".to_owned(), json!({ "region": "home" })),
        ("service:hints".to_owned(), json!({ "kind": "model" })),
    ];
    for number in 0..size.sidecars {
        let name = format!("hints-{number}");
        fleet.add_engine(&name, "dc-1", Behaviour::default()).await?;
        let row = json!({ "service": "hints", "data_centre": "dc-1" });
        rows.push((format!("backend_server:{name}"), row));
    }
    for number in 0..size.accounts {
        let hash = key_sha256_hex(&format!("key-{number}"));
        rows.push((format!("account:a-{number}"), json!({ "key_sha256_hex": hash })));
    }
    let edits: Vec<(&str, Value)> =
        rows.iter().map(|(key, value)| (key.as_str(), value.clone())).collect();
    fleet.edit(&edits).await?;
    fleet.wait_in_force(|config| config.servers.len() == size.sidecars).await;
    fleet.wait_linked("hints", size.sidecars).await;
    let reads = fleet.fake.counts().0;
    let (bytes, cpu, start) = (loopback_bytes()?, cpu_s()?, Instant::now());
    tokio::time::sleep(MEASUREMENT).await;
    let took_s = start.elapsed().as_secs_f64();
    Ok(Point {
        size,
        bytes_per_s: (loopback_bytes()? - bytes) / took_s,
        core_fraction: (cpu_s()? - cpu) / took_s,
        memory_bytes: memory_bytes()?,
        reads_per_s: (fleet.fake.counts().0 - reads) as f64 / took_s,
    })
}

/// Fits a value of the points by least squares.
///
/// # Errors
///
/// There are too few different sizes for the four terms.
pub fn fit(points: &[Point], value: impl Fn(&Point) -> f64) -> Result<Fit> {
    let mut matrix = [[0.0_f64; 5]; 4];
    for point in points {
        let row = point.size.row();
        for (i, a) in row.iter().enumerate() {
            for (j, b) in row.iter().enumerate() {
                matrix[i][j] += a * b;
            }
            matrix[i][4] += a * value(point);
        }
    }
    let terms = solve(matrix).ok_or_else(|| eyre!("too few different sizes for a fit"))?;
    let largest = points.iter().map(&value).fold(0.0, f64::max);
    let predicted = |point: &Point| -> f64 {
        point.size.row().iter().zip(terms).map(|(a, term)| a * term).sum()
    };
    let errors = points.iter().map(|point| (predicted(point) - value(point)).abs());
    Ok(Fit { terms, max_deviation: errors.fold(0.0, f64::max) / largest })
}

/// Gaussian elimination with partial pivoting.
fn solve(mut matrix: [[f64; 5]; 4]) -> Option<[f64; 4]> {
    for column in 0..4 {
        let pivot = (column..4)
            .max_by(|a, b| matrix[*a][column].abs().total_cmp(&matrix[*b][column].abs()))?;
        matrix.swap(column, pivot);
        if matrix[column][column].abs() < 1e-9 {
            return None;
        }
        for row in 0..4 {
            if row != column {
                let factor = matrix[row][column] / matrix[column][column];
                let pivot_row = matrix[column];
                let cells = matrix[row].iter_mut().zip(pivot_row);
                cells.for_each(|(cell, pivot)| *cell -= factor * pivot);
            }
        }
    }
    Some(std::array::from_fn(|row| matrix[row][4] / matrix[row][row]))
}

fn loopback_bytes() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/net/dev")?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let line = line.ok_or_else(|| eyre!("no loopback interface"))?;
    let received = line.split_whitespace().next().unwrap_or_default();
    Ok(received.parse()?)
}

fn cpu_s() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| -> Result<f64> {
        Ok(fields.get(index).ok_or_else(|| eyre!("/proc/self/stat has too few fields"))?.parse()?)
    };
    Ok((ticks(11)? + ticks(12)?) / CLOCK_TICKS_PER_S)
}

fn memory_bytes() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    let kilobytes = kilobytes.ok_or_else(|| eyre!("/proc/self/status has no VmRSS"))?;
    Ok(kilobytes.parse::<f64>()? * 1024.0)
}
