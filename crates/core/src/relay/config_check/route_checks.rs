use crate::relay::RelayConfig;
use crate::relay::RelayRoute;
use crate::relay::RepeatRule;

use super::ConfigFault;
use super::ConfigFinding;
use super::ConfigPlace;
use super::LOWEST_PRIORITY;

/// Returns the findings of the routes, and of the limits that contradict them.
pub(super) fn check_routes(config: &RelayConfig) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    for (position, route) in config.routes.iter().enumerate() {
        let faults = [
            find_duplicate(&config.routes[..position], route),
            check_prefix(route),
            check_host(route),
            check_head(config, route),
        ];
        let faults = faults.into_iter().flatten();
        let faults = faults.chain(check_times(route)).chain(check_use(route));
        findings.extend(faults.map(|fault| ConfigFinding {
            place: ConfigPlace::Route(position),
            fault,
        }));
        findings.extend(check_shares(config, position, route));
    }
    findings.extend(check_head_timeout(config));
    findings
}

fn find_duplicate(earlier: &[RelayRoute], route: &RelayRoute) -> Option<ConfigFault> {
    let first = earlier.iter().position(|other| {
        other.host.eq_ignore_ascii_case(&route.host) && other.prefix == route.prefix
    })?;
    Some(ConfigFault::DuplicateRoute { first })
}

/// A path begins with a slash and is cut behind each of its slashes; it holds no query and no fragment.
fn check_prefix(route: &RelayRoute) -> Option<ConfigFault> {
    let prefix = &route.prefix;
    let is_matched =
        prefix.starts_with('/') && prefix.ends_with('/') && !prefix.contains(['?', '#']);
    (!is_matched).then_some(ConfigFault::UnmatchedPrefix)
}

/// Addresses of IP version 6 are in brackets, so that a colon outside of them begins a port.
fn check_host(route: &RelayRoute) -> Option<ConfigFault> {
    let has_port = route.host.contains(':') && !route.host.ends_with(']');
    has_port.then_some(ConfigFault::HostWithPort)
}

fn check_head(config: &RelayConfig, route: &RelayRoute) -> Option<ConfigFault> {
    let head = format!(
        "GET {} HTTP/1.1\r\nhost: {}\r\n\r\n",
        route.prefix, route.host
    );
    let limit_bytes = config.limits.header_bytes;
    (head.len() > limit_bytes).then_some(ConfigFault::LongPrefix {
        head_bytes: head.len(),
        limit_bytes,
    })
}

fn check_times(route: &RelayRoute) -> Vec<ConfigFault> {
    let timeout_ms = route.timeout_ms;
    if timeout_ms == 0 {
        return vec![ConfigFault::ZeroTimeout];
    }
    let target = (route.target_ms > timeout_ms).then_some(ConfigFault::TargetAboveTimeout {
        target_ms: route.target_ms,
        timeout_ms,
    });
    let gap = (route.gap_target_ms > timeout_ms).then_some(ConfigFault::GapAboveTimeout {
        gap_ms: route.gap_target_ms,
        timeout_ms,
    });
    [target, gap].into_iter().flatten().collect()
}

fn check_use(route: &RelayRoute) -> Vec<ConfigFault> {
    let attempts = route.max_attempts;
    let has_unused = route.repeat == RepeatRule::AtMostOnce && attempts > 1;
    let attempts = has_unused.then_some(ConfigFault::UnusedAttempts { attempts });
    let priority = route.priority;
    let priority = (priority > LOWEST_PRIORITY).then_some(ConfigFault::LowPriority { priority });
    let services = match total_weight(route) {
        _ if route.shares.is_empty() => Some(ConfigFault::NoService),
        0 => Some(ConfigFault::OnlyZeroWeights),
        _ => None,
    };
    [attempts, priority, services]
        .into_iter()
        .flatten()
        .collect()
}

fn check_shares(config: &RelayConfig, position: usize, route: &RelayRoute) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    for (index, share) in route.shares.iter().enumerate() {
        let mut report = |fault| {
            let place = ConfigPlace::Share {
                route: position,
                share: index,
            };
            findings.push(ConfigFinding { place, fault });
        };
        if share.weight == 0 && total_weight(route) > 0 {
            report(ConfigFault::ZeroWeight);
        }
        if config.service(&share.service).is_none() {
            report(ConfigFault::UnknownService {
                service: share.service.clone(),
                is_used: is_used(route, index),
            });
        }
    }
    findings
}

/// Returns whether the route sends requests to its share at `index`.
pub(super) fn is_used(route: &RelayRoute, index: usize) -> bool {
    match total_weight(route) {
        0 => index == 0,
        _ => route.shares[index].weight > 0,
    }
}

fn total_weight(route: &RelayRoute) -> u64 {
    let weights = route.shares.iter().map(|share| u64::from(share.weight));
    weights.sum()
}

/// Compares the time-out for the head with the shortest time-out of a route, which is not zero.
fn check_head_timeout(config: &RelayConfig) -> Option<ConfigFinding> {
    let header_ms = config.limits.header_timeout_ms;
    let timeouts = config.routes.iter().map(|route| route.timeout_ms);
    let timeouts = timeouts
        .enumerate()
        .filter(|(_, timeout_ms)| *timeout_ms > 0);
    let (route, timeout_ms) = timeouts.min_by_key(|(_, timeout_ms)| *timeout_ms)?;
    (header_ms > timeout_ms).then_some(ConfigFinding {
        place: ConfigPlace::Limits,
        fault: ConfigFault::HeadAboveTimeout {
            header_ms,
            route,
            timeout_ms,
        },
    })
}
