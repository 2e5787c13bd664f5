//! Endpoint lists for callers. The input is the instance list, the name of a service and the
//! configuration in force; there is no state. The module decides which gateways a service's callers
//! use, and with which weights.

use std::collections::BTreeMap;

use hooktrestle_core::subset;
use hooktrestle_schema::Endpoint;
use hooktrestle_schema::EndpointsAnswer;
use hooktrestle_schema::Instance;
use hooktrestle_schema::InstanceRole;
use hooktrestle_schema::InstanceState;

use crate::config_sync::InForce;
use crate::gateway::Shared;

/// The gateways for the callers of a service: a subset of the live gateways. The same list gives
/// the same subset, so that each gateway needs links for few services only.
pub(crate) fn for_service<'a>(
    directory: &'a BTreeMap<String, Instance>,
    service: &str,
) -> Vec<&'a Instance> {
    let live: Vec<&Instance> = directory
        .values()
        .filter(|instance| instance.role == InstanceRole::Gateway)
        .filter(|instance| instance.state == InstanceState::Live)
        .collect();
    let candidates: Vec<subset::Instance<'_>> = live
        .iter()
        .map(|instance| subset::Instance { name: &instance.name, is_local: false })
        .collect();
    let chosen = subset::choose(service, &candidates, subset::GATEWAYS_PER_SERVICE);
    chosen.into_iter().map(|index| live[index]).collect()
}

/// The response to a request for a service's endpoints. Gateways in data centres that are draining
/// or have weight 0 are left out, unless no gateway would be left.
pub(crate) fn answer(shared: &Shared, in_force: &InForce, service: &str) -> EndpointsAnswer {
    let directory = shared.directory.borrow().clone();
    let own = &shared.identity.instance;
    let leaving = shared.is_leaving();
    let mut chosen = for_service(&directory, service);
    chosen.retain(|instance| !(leaving && instance.name == *own));
    let weights: BTreeMap<&str, u32> = in_force
        .snapshot
        .data_centres
        .iter()
        .map(|(name, row)| (name.as_str(), if row.drain { 0 } else { row.weight }))
        .collect();
    let weight_of = |instance: &Instance| {
        weights.get(instance.data_centre.as_str()).copied().unwrap_or_default()
    };
    let any = chosen.iter().any(|instance| weight_of(instance) > 0);
    let endpoints = chosen
        .into_iter()
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
