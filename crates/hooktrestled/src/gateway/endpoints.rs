//! Which gateways callers should use.

use std::collections::BTreeMap;

use hooktrestle_schema::Endpoint;
use hooktrestle_schema::EndpointsAnswer;
use hooktrestle_schema::Instance;
use hooktrestle_schema::InstanceRole;
use hooktrestle_schema::InstanceState;

use crate::config_keeper::InForce;
use crate::gateway::Shared;

/// The answer to a caller that asks for a service's endpoints.
///
/// Every live gateway serves every service. Those in data centres that are drained, or have weight
/// 0, are left out, unless that leaves none.
pub(crate) fn answer(shared: &Shared, in_force: &InForce, service: &str) -> EndpointsAnswer {
    let directory = shared.directory.borrow().clone();
    let own = &shared.identity.instance;
    let leaving = *shared.leaving.borrow();
    let live: Vec<&Instance> = directory
        .values()
        .filter(|instance| instance.role == InstanceRole::Gateway)
        .filter(|instance| instance.state == InstanceState::Live)
        .filter(|instance| !(leaving && instance.name == *own))
        .collect();
    let weights: BTreeMap<&str, u32> = in_force
        .snapshot
        .data_centres
        .iter()
        .map(|(name, row)| (name.as_str(), if row.drain { 0 } else { row.weight }))
        .collect();
    let weight_of = |instance: &Instance| {
        weights.get(instance.data_centre.as_str()).copied().unwrap_or_default()
    };
    let any = live.iter().any(|instance| weight_of(instance) > 0);
    let endpoints = live
        .iter()
        .map(|instance| endpoint(instance, if any { weight_of(instance) } else { 1 }))
        .filter(|endpoint| endpoint.weight > 0)
        .collect();
    EndpointsAnswer {
        service: service.to_owned(),
        keep_ms: shared.settings.keep_endpoints_ms,
        config_version: in_force.config.version,
        endpoints,
    }
}

fn endpoint(instance: &Instance, weight: u32) -> Endpoint {
    Endpoint {
        address: instance.address.clone(),
        data_centre: instance.data_centre.clone(),
        weight,
    }
}
