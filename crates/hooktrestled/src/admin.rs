//! HTTP server with health, readiness and metrics of a process, for operators. The input is GET
//! requests; the state is the [`Observe`] object of the process, which decides on readiness.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use eyre::Result;
use eyre::WrapErr;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use warp::Filter;
use warp::Reply;
use warp::http::StatusCode;
use warp::reply::Response;

/// Media type of the metrics.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// One value of a gauge.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    /// Name without the prefix `hooktrestle`; it ends with the unit.
    pub(crate) name: &'static str,
    /// Help text of the metric.
    pub(crate) help: &'static str,
    /// Current value.
    pub(crate) value: i64,
}

impl Sample {
    /// The version in force; 0 before the first.
    pub(crate) fn config_version(version: Option<u64>) -> Sample {
        Sample {
            name: "config_version",
            help: "Version of the configuration in force here",
            value: version.and_then(|version| version.try_into().ok()).unwrap_or(0),
        }
    }
}

/// Readiness and gauges of a process at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Observed {
    /// Whether the process accepts new requests.
    pub(crate) is_ready: bool,
    /// The gauges of the process.
    pub(crate) samples: Vec<Sample>,
}

/// A process that can be observed.
pub(crate) trait Observe: Clone + Send + Sync + 'static {
    /// The current state.
    fn observe(&self) -> impl Future<Output = Observed> + Send;
}

/// Starts the server. Aborting the handle stops it.
pub(crate) async fn start<O: Observe>(
    listen: &str,
    observe: O,
) -> Result<(SocketAddr, AbortHandle)> {
    let listener = TcpListener::bind(listen)
        .await
        .wrap_err_with(|| format!("cannot listen on {listen} ([instance] admin_listen)"))?;
    let address = listener.local_addr()?;
    let server = warp::serve(routes(observe)).incoming(listener);
    Ok((address, tokio::spawn(server.run()).abort_handle()))
}

fn routes<O: Observe>(
    observe: O,
) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone + Send + Sync + 'static {
    let with = warp::any().map(move || observe.clone());
    let health = warp::path!("healthz").map(|| StatusCode::OK.into_response());
    let ready = warp::path!("readyz").and(with.clone()).then(|observe: O| async move {
        let ready = observe.observe().await.is_ready;
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        status.into_response()
    });
    let metrics = warp::path!("metrics").and(with).then(|observe: O| async move {
        let text = render(&observe.observe().await);
        warp::reply::with_header(text, "content-type", OPEN_METRICS).into_response()
    });
    health
        .or(ready)
        .unify()
        .or(metrics)
        .unify()
        .recover(|_| async { Ok::<_, Infallible>(StatusCode::NOT_FOUND) })
        .map(Reply::into_response)
}

fn render(observed: &Observed) -> String {
    let mut registry = Registry::with_prefix("hooktrestle");
    for sample in &observed.samples {
        let gauge: Gauge = Gauge::default();
        gauge.set(sample.value);
        registry.register(sample.name, sample.help, gauge);
    }
    let mut text = String::new();
    // Writing to a `String` does not fail.
    let _ = encode(&mut text, &registry);
    text
}
