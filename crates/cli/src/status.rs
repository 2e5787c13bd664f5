//! The `status` command and `--wait`: the configuration in force in each data centre.
//!
//! Its input is the platform's tables, the instance list and the status of each gateway; it holds
//! no state. It decides whether every gateway has the accepted version.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use comfy_table::Table;
use eyre::Result;
use hooktrestle_core::rows::CONFIG;
use hooktrestle_core::rows::HEAD;
use hooktrestle_core::rows::ROW_ERRORS;
use hooktrestle_core::rows::RowName;
use hooktrestle_platform::Listing;
use hooktrestle_platform::Platform;
use hooktrestle_schema::ConfigHead;
use hooktrestle_schema::Instance;
use hooktrestle_schema::InstanceRole;
use hooktrestle_schema::InstanceState;
use hooktrestle_schema::RowError;
use hooktrestle_schema::StatusAnswer;
use serde::Serialize;

/// Exit status if a change is not in force in every data centre.
const EXIT_NOT_IN_FORCE: u8 = 3;

/// Longest wait for one gateway's status.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a change to be in force everywhere.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two polls of the status while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// One data centre, as its gateways report it. Sidecars are left out: they have no status address.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
struct DataCentreSummary {
    gateways: usize,
    unreachable: Vec<String>,
    leaving: Vec<String>,
    oldest_version: Option<u64>,
    newest_version: Option<u64>,
    open_requests: u64,
}

/// Status of the whole deployment.
#[derive(Clone, Debug, Serialize)]
struct Status {
    accepted_version: u64,
    rows_revision: u64,
    data_centres: BTreeMap<String, DataCentreSummary>,
    rows_left_out: BTreeMap<String, String>,
    backend_servers_leaving: Vec<String>,
}

impl Status {
    /// Whether all gateways respond and have the accepted version.
    fn is_everywhere(&self) -> bool {
        self.data_centres.values().all(|summary| {
            summary.unreachable.is_empty() && summary.oldest_version >= Some(self.accepted_version)
        })
    }
}

/// Prints the status.
pub(crate) async fn print(platform: &Platform, json: bool) -> Result<ExitCode> {
    let status = read_status(platform).await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        table(&status);
    }
    Ok(if status.is_everywhere() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_NOT_IN_FORCE) })
}

/// Waits until a row that was written at `revision` is in force everywhere, with a line for each
/// data centre.
pub(crate) async fn wait(platform: &Platform, row: &RowName, revision: u64) -> Result<ExitCode> {
    let start = Instant::now();
    let mut reported: Vec<String> = Vec::new();
    loop {
        let status = read_status(platform).await?;
        if let Some(message) = status.rows_left_out.get(&row.to_string()) {
            eprintln!("hooktrestle: {row} is not accepted: {message}");
            return Ok(ExitCode::FAILURE);
        }
        let accepted = status.rows_revision >= revision;
        for (name, summary) in &status.data_centres {
            let reached = summary.oldest_version >= Some(status.accepted_version);
            if accepted && reached && !reported.contains(name) {
                let took_s = start.elapsed().as_secs_f64();
                println!(
                    "{name}: version {} in force after {took_s:.1} s",
                    status.accepted_version
                );
                reported.push(name.clone());
            }
        }
        if accepted && status.is_everywhere() {
            return Ok(ExitCode::SUCCESS);
        }
        if start.elapsed() > WAIT_TIMEOUT {
            eprintln!("hooktrestle: not in force everywhere; see `hooktrestle status`");
            return Ok(ExitCode::from(EXIT_NOT_IN_FORCE));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn read_status(platform: &Platform) -> Result<Status> {
    let head = platform.row(CONFIG, HEAD).await?;
    let head: Option<ConfigHead> = head.map(|row| serde_json::from_value(row.value)).transpose()?;
    let mut rows_left_out = BTreeMap::new();
    for row in platform.rows(ROW_ERRORS, 0).await?.rows {
        if !row.value.is_null() {
            let error: RowError = serde_json::from_value(row.value)?;
            rows_left_out.insert(row.key, error.message);
        }
    }
    let instances = match platform.instances(None).await? {
        Listing::Changed { instances, .. } => instances,
        Listing::Unchanged => Vec::new(),
    };
    let is_leaving = |instance: &&Instance| {
        instance.role == InstanceRole::Sidecar && instance.state == InstanceState::Leaving
    };
    let leaving = instances.iter().filter(is_leaving).map(|instance| instance.name.clone());
    Ok(Status {
        accepted_version: head.as_ref().map_or(0, |head| head.version),
        rows_revision: head.as_ref().map_or(0, |head| head.rows_revision),
        backend_servers_leaving: leaving.collect(),
        data_centres: query_gateways(&instances).await?,
        rows_left_out,
    })
}

async fn query_gateways(instances: &[Instance]) -> Result<BTreeMap<String, DataCentreSummary>> {
    let http = reqwest::Client::builder().no_proxy().timeout(GATEWAY_TIMEOUT).build()?;
    let mut summaries: BTreeMap<String, DataCentreSummary> = BTreeMap::new();
    let mut answers = tokio::task::JoinSet::new();
    for instance in instances.iter().filter(|each| each.role == InstanceRole::Gateway) {
        let url = format!("http://{}/v1/status", instance.address);
        let (http, instance) = (http.clone(), instance.clone());
        answers.spawn(async move { (instance, status(&http, &url).await) });
    }
    while let Some(answered) = answers.join_next().await {
        let (instance, answer) = answered?;
        let summary = summaries.entry(instance.data_centre).or_default();
        summary.gateways += 1;
        match answer {
            Ok(answer) => summary.add(answer),
            Err(_) => summary.unreachable.push(instance.name),
        }
    }
    Ok(summaries)
}

async fn status(http: &reqwest::Client, url: &str) -> reqwest::Result<StatusAnswer> {
    http.get(url).send().await?.error_for_status()?.json().await
}

impl DataCentreSummary {
    fn add(&mut self, answer: StatusAnswer) {
        let version = answer.config_version;
        self.oldest_version = Some(self.oldest_version.map_or(version, |old| old.min(version)));
        self.newest_version = self.newest_version.max(Some(version));
        self.open_requests += answer.open_requests;
        if answer.leaving {
            self.leaving.push(answer.instance);
        }
    }
}

fn table(status: &Status) {
    println!("accepted version {}", status.accepted_version);
    let mut table = Table::new();
    table.set_header(["data centre", "gateways", "version", "open", "leaving", "unreachable"]);
    for (name, summary) in &status.data_centres {
        let shown =
            |version: Option<u64>| version.map_or("-".to_owned(), |known| known.to_string());
        let (oldest, newest) = (shown(summary.oldest_version), shown(summary.newest_version));
        let versions = if oldest == newest { oldest } else { format!("{oldest} to {newest}") };
        table.add_row([
            name.clone(),
            summary.gateways.to_string(),
            versions,
            summary.open_requests.to_string(),
            summary.leaving.join(" "),
            summary.unreachable.join(" "),
        ]);
    }
    println!("{table}");
    for name in &status.backend_servers_leaving {
        println!("leaving: {name}");
    }
    for (row, message) in &status.rows_left_out {
        println!("left out: {row}: {message}");
    }
}
