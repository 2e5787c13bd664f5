//! The gateway process: receives HTTP requests from callers and sends them over links to sidecars.
//! Its state is the configuration in force, the instance list, the links with the sidecars' load,
//! the accounts' limits and the retry budget. It decides when the gateway is ready and when it has
//! left.
//!
//! - [`http`]: the HTTP interface for callers.
//! - [`drive`]: one request, from its first attempt to its final answer.
//! - [`router`]: the actor that chooses backend servers and holds the state of the links.
//! - [`links`]: keeps one link to each sidecar open.
//! - [`endpoints`]: the list of gateways that callers of a service get.
//! - [`tickets`]: the keys of requests that are not repeatable.
//! - [`body`]: a request body, buffered for retries while it is small.

mod body;
mod drive;
mod endpoints;
mod http;
mod links;
mod router;
mod tickets;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use eyre::Result;
use hooktrestle_clock::ProcessClock;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::planned_stop::PlannedStop;
use hooktrestle_core::direct::service_times::Served;
use hooktrestle_core::direct::service_times::ServiceTimes;
use hooktrestle_core::id::RequestNumbers;
use hooktrestle_core::limits::Limiter;
use hooktrestle_core::retry;
use hooktrestle_core::retry::RetryBudget;
use hooktrestle_link::Identity;
use hooktrestle_schema::GatewaySettings;
use hooktrestle_schema::Settings;
use spdlog::info;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use xtra::Address;

use crate::acceptor;
use crate::admin;
use crate::admin::Observe;
use crate::admin::Observed;
use crate::admin::Sample;
use crate::config_sync;
use crate::directory;
use crate::drain;
use crate::process::Process;
use crate::settings;
use crate::traces::Traces;

/// State that all requests at a gateway share. Clones refer to the same state.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) identity: Arc<Identity>,
    pub(crate) data_centre: Arc<str>,
    pub(crate) keys: hooktrestle_link::auth::Keys,
    pub(crate) settings: Arc<GatewaySettings>,
    pub(crate) config: config_sync::Watch,
    pub(crate) directory: directory::Watch,
    pub(crate) router: Address<router::Router>,
    pub(crate) request_numbers: Arc<RequestNumbers>,
    pub(crate) retry_budget: Arc<Mutex<RetryBudget>>,
    pub(crate) limiter: Arc<Mutex<Limiter>>,
    pub(crate) clock: ProcessClock,
    pub(crate) traces: Traces,
    pub(crate) in_flight: watch::Sender<usize>,
    /// The planned stop, once it has begun.
    pub(crate) stop: watch::Sender<Option<PlannedStop>>,
    pub(crate) service_times: Arc<Mutex<ServiceTimes>>,
}

impl Shared {
    /// Whether the process was asked to stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Whether a request for a service with this deadline is accepted. While the process stops,
    /// another gateway has to run a request that may last longer than this one.
    pub(crate) fn accepts(&self, service: &str, deadline: Millis) -> bool {
        let Some(stop) = *self.stop.borrow() else { return true };
        let now = self.clock.now();
        let times = self.service_times.lock().unwrap_or_else(PoisonError::into_inner);
        stop.accepts(deadline, times.longest(service, now), now)
    }

    /// Records what a request for a service took.
    pub(crate) fn record_served(&self, service: &str, served: Served) {
        let mut times = self.service_times.lock().unwrap_or_else(PoisonError::into_inner);
        times.record(service, served, self.clock.now());
    }
}

impl Observe for Shared {
    async fn observe(&self) -> Observed {
        let version = config_sync::version(&self.config);
        let in_flight = *self.in_flight.borrow();
        let samples = vec![
            Sample::config_version(version),
            Sample {
                name: "open_requests",
                help: "Requests in flight",
                value: in_flight.try_into().unwrap_or(i64::MAX),
            },
        ];
        Observed { is_ready: version.is_some() && !self.is_leaving(), samples }
    }
}

/// A running gateway. Dropping it stops the gateway without waiting for requests in flight.
#[derive(Debug)]
pub struct Gateway {
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The address of health, readiness and metrics, for operators.
    pub admin_address: SocketAddr,
    shared: Shared,
    tasks: Vec<AbortHandle>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Gateway {
    /// Starts a gateway.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or a client cannot be set up.
    pub async fn start(settings: &Settings) -> Result<Gateway> {
        let process = Process::start(settings).await?;
        let Process { platform, sync_task, config, directory, identity, .. } = process;
        let Process { listener, address, traces, clock, .. } = process;
        let poll = settings::millis(settings.platform.poll_ms);
        let context = links::Context {
            link: settings::links(settings),
            identity: identity.clone(),
            data_centre: settings.instance.data_centre.clone(),
            directory: directory.clone(),
            config: config.clone(),
            sync_task: sync_task.clone(),
            heartbeat_interval: settings::millis(settings.links.heartbeat_ms),
            clock,
        };
        let router = router::start(context);
        let shared = Shared {
            identity: Arc::new(identity),
            data_centre: settings.instance.data_centre.as_str().into(),
            keys: settings::links(settings).keys,
            settings: Arc::new(gateway_settings(settings)),
            config,
            directory: directory.clone(),
            router,
            request_numbers: Arc::default(),
            retry_budget: Arc::new(Mutex::new(RetryBudget::new(retry::Config::default()))),
            limiter: Arc::default(),
            clock,
            in_flight: watch::Sender::new(0),
            stop: watch::Sender::new(None),
            service_times: Arc::default(),
            traces,
        };
        let server = warp::serve(http::routes(shared.clone())).incoming(listener);
        let accepting = acceptor::run(platform, sync_task, directory, poll);
        let (admin_address, admin) =
            admin::start(&settings.instance.admin_listen, shared.clone()).await?;
        let serving = tokio::spawn(server.run()).abort_handle();
        let accepting = tokio::spawn(accepting).abort_handle();
        let tasks = vec![admin, serving, accepting];
        info!("gateway listens", kv: { address: = address.to_string().as_str() });
        Ok(Gateway { address, admin_address, shared, tasks })
    }

    /// The configuration in force here.
    pub fn config(&self) -> config_sync::Watch {
        self.shared.config.clone()
    }

    /// Leaves: removes the gateway from the endpoints that callers get, then serves until the
    /// endpoint lists that callers hold have expired and the last request has ended. After the
    /// beginning of `within`, requests whose deadline is later than its end are refused.
    ///
    /// Returns the number of requests that were still open when `within` had passed.
    pub async fn leave(&self, within: Duration) -> usize {
        let now = self.shared.clock.now();
        self.shared.stop.send_replace(Some(PlannedStop::new(now, Millis::from(within))));
        let keep = settings::millis(self.shared.settings.keep_endpoints_ms).min(within);
        tokio::time::sleep(keep).await;
        let unfinished = drain::until_idle(self.shared.in_flight.subscribe(), within - keep).await;
        self.shared.traces.flush();
        unfinished
    }

    /// Waits until links to at least `servers` backend servers of a service are open.
    pub async fn wait_linked(&self, service: &str, servers: usize) {
        let mut config = self.shared.config.clone();
        loop {
            let counted = self.shared.router.send(router::CountLinked(service.to_owned())).await;
            let Ok((count, mut changes)) = counted else { return };
            if count >= servers {
                return;
            }
            let changed = tokio::select! {
                changed = changes.changed() => changed.is_ok(),
                changed = config.changed() => changed.is_ok(),
            };
            if !changed {
                return;
            }
        }
    }
}

fn gateway_settings(settings: &Settings) -> GatewaySettings {
    settings.gateway.clone().unwrap_or_else(|| {
        serde_json::from_str("{}").expect("every setting of a gateway has a default")
    })
}
