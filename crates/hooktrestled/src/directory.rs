//! Polls the platform's instance list. The input is the list; the state is the newest list that
//! could be read, by name. The list lags behind: what an instance reports about itself takes
//! precedence.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hooktrestle_platform::Listing;
use hooktrestle_platform::Platform;
use hooktrestle_schema::Instance;
use hooktrestle_schema::InstanceRole;
use hooktrestle_schema::InstanceState;
use spdlog::warn;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::poll::jittered;

/// Receiver of the newest list that could be read, by name.
pub type Watch = watch::Receiver<Arc<BTreeMap<String, Instance>>>;

/// Number of live gateways in the list.
pub(crate) fn live_gateway_count(list: &BTreeMap<String, Instance>) -> usize {
    let is_live = |instance: &&Instance| {
        instance.role == InstanceRole::Gateway && instance.state == InstanceState::Live
    };
    list.values().filter(is_live).count()
}

/// The address of an instance, by the list.
pub(crate) fn address(watch: &Watch, name: &str) -> Option<SocketAddr> {
    watch.borrow().get(name)?.address.parse().ok()
}

/// Starts polling. It ends when the last receiver is dropped.
pub fn start(platform: Platform, poll: Duration) -> Watch {
    let (published, watch) = watch::channel(Arc::default());
    tokio::spawn(async move {
        let mut known = None;
        while !published.is_closed() {
            match platform.instances(known.as_deref()).await {
                Ok(Listing::Unchanged) => {}
                Ok(Listing::Changed { instances, tag }) => {
                    known = tag;
                    publish(&published, instances);
                }
                // The last list stays in use: an outage of the list gives no information on
                // instances.
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
