use crate::relay::ModelShape;
use crate::relay::RelayConfig;

use super::ConfigFault;
use super::ConfigFinding;
use super::ConfigPlace;
use super::route_checks::is_used;

/// Returns the findings of the services.
pub(super) fn check_services(config: &RelayConfig) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    for (index, service) in config.services.iter().enumerate() {
        let name = &service.name;
        let mut report = |fault| {
            let place = ConfigPlace::Service(name.clone());
            findings.push(ConfigFinding { place, fault });
        };
        if index > 0 && config.services[index - 1].name == *name {
            report(ConfigFault::DuplicateService);
        }
        if !has_requests(config, name) {
            report(ConfigFault::UnusedService);
        }
        if let Some(shape) = &service.model {
            findings.extend(check_kinds(name, shape));
        }
    }
    findings
}

fn has_requests(config: &RelayConfig, name: &str) -> bool {
    config.routes.iter().any(|route| {
        let mut shares = route.shares.iter().enumerate();
        shares.any(|(index, share)| share.service == name && is_used(route, index))
    })
}

fn check_kinds(service: &str, shape: &ModelShape) -> Vec<ConfigFinding> {
    let small = shape
        .kinds
        .iter()
        .filter(|kind| shape.max_layers(kind.memory_mb) == 0);
    let mut findings: Vec<ConfigFinding> = small
        .map(|kind| ConfigFinding {
            place: ConfigPlace::Kind {
                service: service.to_owned(),
                kind: kind.name.clone(),
            },
            fault: ConfigFault::SmallKind {
                layers: shape.layers,
            },
        })
        .collect();
    // Engines of a kind that the model lacks count as without memory.
    if findings.len() == shape.kinds.len() {
        findings.push(ConfigFinding {
            place: ConfigPlace::Service(service.to_owned()),
            fault: ConfigFault::NoUsableKind,
        });
    }
    findings
}
