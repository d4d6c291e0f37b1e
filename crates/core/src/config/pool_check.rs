//! Validation of a pool, including that its endpoints together hold every layer of the model.

use super::ConfigState;
use super::ModelSpec;
use super::PoolSpec;
use super::TicketFault;

/// Adds every fault of a pool to `faults`; `new_config` is the configuration after the ticket.
pub(super) fn check_pool(
    pool: &PoolSpec,
    place: &str,
    new_config: &ConfigState,
    faults: &mut Vec<TicketFault>,
) {
    check_endpoints(pool, place, new_config, faults);
    if pool.min_ready as usize > pool.endpoints.len() {
        let problem = format!(
            "exceeds the number of endpoints; use at most {}",
            pool.endpoints.len()
        );
        faults.push(TicketFault::new(format!("{place}.min_ready"), problem));
    }
    let Some(model) = new_config.model(&pool.model) else {
        let problem = format!(
            "there is no model {}; create it first or in this ticket",
            pool.model
        );
        faults.push(TicketFault::new(format!("{place}.model"), problem));
        return;
    };
    check_ranges(pool, model, place, faults);
}

fn check_endpoints(
    pool: &PoolSpec,
    place: &str,
    new_config: &ConfigState,
    faults: &mut Vec<TicketFault>,
) {
    for (index, member) in pool.endpoints.iter().enumerate() {
        let place = format!("{place}.endpoints[{index}]");
        let name = &member.name;
        let is_repeated = pool.endpoints[..index]
            .iter()
            .any(|other| other.name == *name);
        if is_repeated {
            let problem = format!("endpoint {name} is listed twice; remove one");
            faults.push(TicketFault::new(format!("{place}.name"), problem));
        }
        let has_endpoint = |other: &&PoolSpec| {
            let mut names = other.endpoints.iter().map(|endpoint| &endpoint.name);
            other.name != pool.name && names.any(|other| other == name)
        };
        if let Some(other) = new_config.pools.iter().find(has_endpoint) {
            let problem = format!(
                "endpoint {name} belongs to pool {}; remove it there",
                other.name
            );
            faults.push(TicketFault::new(format!("{place}.name"), problem));
        }
        if member.tokens_per_second == 0 {
            let problem = "must be at least 1";
            faults.push(TicketFault::new(
                format!("{place}.tokens_per_second"),
                problem,
            ));
        }
    }
}

fn check_ranges(pool: &PoolSpec, model: &ModelSpec, place: &str, faults: &mut Vec<TicketFault>) {
    for (index, member) in pool.endpoints.iter().enumerate() {
        let place = format!("{place}.endpoints[{index}].end_layer");
        if member.end_layer <= member.first_layer {
            let problem = format!("must be greater than first_layer {}", member.first_layer);
            faults.push(TicketFault::new(place, problem));
        } else if member.end_layer > model.layers {
            let problem = format!(
                "model {} has only {} layers; use a lower value",
                model.name, model.layers
            );
            faults.push(TicketFault::new(place, problem));
        }
    }
    let mut ranges: Vec<(u16, u16)> = pool
        .endpoints
        .iter()
        .map(|member| (member.first_layer, member.end_layer))
        .collect();
    ranges.sort_unstable();
    ranges.push((model.layers, model.layers));
    let mut covered = 0;
    for (first, end) in ranges {
        if first > covered && covered < model.layers {
            let problem = format!(
                "no endpoint holds layers {covered}..{}; add one",
                first.min(model.layers)
            );
            faults.push(TicketFault::new(format!("{place}.endpoints"), problem));
        }
        covered = covered.max(end);
    }
}
