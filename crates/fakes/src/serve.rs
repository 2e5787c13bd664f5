//! HTTP server of the stand-ins. Input: an address and a `warp` filter. State: the server's task.
//! The server stops when its handle is dropped.

use std::convert::Infallible;
use std::net::SocketAddr;

use eyre::Result;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use warp::Filter;
use warp::reply::Response;

/// Handle of a server, which stops and closes its connections when the handle is dropped.
#[derive(Debug)]
pub(crate) struct ServerHandle {
    pub(crate) address: SocketAddr,
    task: AbortHandle,
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(crate) async fn serve<F>(listen: SocketAddr, routes: F) -> Result<ServerHandle>
where
    F: Filter<Extract = (Response,), Error = Infallible> + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(warp::serve(routes).incoming(listener).run()).abort_handle();
    Ok(ServerHandle { address, task })
}
