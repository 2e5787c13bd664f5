//! Stand-in of a plain application service. Input: requests with any method and path. State: the
//! ledger, with the request's path as marker. It answers each request with the request's body.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Buf;
use bytes::BytesMut;
use eyre::Result;
use futures_util::Stream;
use futures_util::TryStreamExt;
use warp::Filter;
use warp::Reply;
use warp::http::StatusCode;

use crate::ledger::Ledger;
use crate::serve::ServerHandle;
use crate::serve::serve;

/// An application service that stops when it is dropped.
#[derive(Debug)]
pub struct FakeApp {
    /// The requests that ran.
    pub ledger: Ledger,
    server: ServerHandle,
}

impl FakeApp {
    /// Starts a service; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<FakeApp> {
        let ledger = Ledger::default();
        let shared_ledger = ledger.clone();
        let routes = warp::path::full()
            .and(warp::body::stream())
            .then(move |path: warp::path::FullPath, body| {
                let ledger = shared_ledger.clone();
                async move { echo(path.as_str(), body, &ledger).await }
            })
            .recover(|_| async { Ok::<_, Infallible>(StatusCode::BAD_REQUEST) })
            .map(Reply::into_response);
        let server = serve(listen, routes).await?;
        Ok(FakeApp { ledger, server })
    }

    /// Base URL of the service.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address)
    }
}

async fn echo<B: Buf>(
    marker: &str,
    body: impl Stream<Item = Result<B, warp::Error>>,
    ledger: &Ledger,
) -> warp::reply::Response {
    ledger.start(marker);
    let result = body
        .try_fold(BytesMut::new(), |mut collected, mut chunk| async move {
            collected.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
            Ok(collected)
        })
        .await;
    match result {
        Ok(collected) => {
            ledger.finish(marker);
            collected.to_vec().into_response()
        }
        Err(_) => StatusCode::BAD_REQUEST.into_response(),
    }
}
