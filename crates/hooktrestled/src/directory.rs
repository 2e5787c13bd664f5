//! The platform's instance list, polled. It lags; what an instance says of itself goes before it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hooktrestle_platform::Platform;
use hooktrestle_schema::Instance;
use spdlog::warn;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::poll::jittered;

/// The newest list that could be read, by name.
pub type Watch = watch::Receiver<Arc<BTreeMap<String, Instance>>>;

/// Starts polling; it ends when nobody watches any more.
pub fn start(platform: Platform, poll: Duration) -> Watch {
    let (published, watch) = watch::channel(Arc::default());
    tokio::spawn(async move {
        while !published.is_closed() {
            match platform.instances().await {
                Ok(list) => publish(&published, list),
                // The last list stays: an outage of the list is no news about instances.
                Err(error) => {
                    warn!("cannot read the instance list", kv: { error: = error.to_string().as_str() })
                }
            }
            sleep(jittered(poll)).await;
        }
    });
    watch
}

fn publish(published: &watch::Sender<Arc<BTreeMap<String, Instance>>>, list: Vec<Instance>) {
    let by_name: BTreeMap<String, Instance> =
        list.into_iter().map(|instance| (instance.name.clone(), instance)).collect();
    published.send_if_modified(|old| {
        let changed = **old != by_name;
        if changed {
            *old = Arc::new(by_name);
        }
        changed
    });
}
