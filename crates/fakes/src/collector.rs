//! Stand-in of a trace collector. Input: the requests of OTLP exporters. State: their bodies, which
//! are not decoded. It accepts every export.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use eyre::Result;
use tokio::sync::watch;
use warp::Filter;
use warp::Reply;
use warp::http::StatusCode;

use crate::serve::ServerHandle;
use crate::serve::serve;

/// A collector that stops when it is dropped.
#[derive(Debug)]
pub struct FakeCollector {
    exports: watch::Sender<Vec<Bytes>>,
    server: ServerHandle,
}

impl FakeCollector {
    /// Starts a collector; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<FakeCollector> {
        let exports = watch::Sender::new(Vec::new());
        let recorded = exports.clone();
        let routes = warp::post()
            .and(warp::path!("v1" / "traces"))
            .and(warp::body::bytes())
            .map(move |body: Bytes| {
                recorded.send_modify(|exports| exports.push(body));
                StatusCode::OK.into_response()
            })
            .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST) })
            .map(Reply::into_response);
        let server = serve(listen, routes).await?;
        Ok(FakeCollector { exports, server })
    }

    /// URL to which exporters send.
    pub fn url(&self) -> String {
        format!("http://{}/v1/traces", self.server.address)
    }

    /// Waits until one export contains all of these byte strings.
    pub async fn wait(&self, parts: &[&[u8]]) {
        let holds = |export: &Bytes, part: &[u8]| export.windows(part.len()).any(|at| at == part);
        let all = |export: &Bytes| parts.iter().all(|part| holds(export, part));
        let mut exports = self.exports.subscribe();
        // `wait_for` cannot fail, since `self` holds the sender.
        let _ = exports.wait_for(|exports| exports.iter().any(all)).await;
    }
}
