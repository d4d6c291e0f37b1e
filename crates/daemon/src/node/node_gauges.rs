use std::sync::Arc;

use dandelionroad_settings::NodeRole;

use crate::entry::routing::model_bounds;
use crate::telemetry;
use crate::telemetry::TelemetryHub;

use super::NodeContext;

/// Records the configuration revision and, at an entry, the throughput bound of each model.
///
/// Records once at the start and after each change of configuration or members. Returns at once if
/// no exporter is installed.
pub(super) async fn record_gauges(context: Arc<NodeContext>) {
    if TelemetryHub::installed().is_none() {
        return;
    }
    let mut config = context.config.subscribe();
    let mut members = context.members.subscribe();
    loop {
        let current = config.borrow_and_update().clone();
        telemetry::record_revision(&context.settings.name, current.revision);
        let table = members.borrow_and_update().clone();
        if context.settings.role == NodeRole::Entry {
            for bound in model_bounds(&current, &table) {
                telemetry::record_bound(bound.model.as_str(), bound.tokens_per_second);
            }
        }
        let change = tokio::select! {
            change = config.changed() => change,
            change = members.changed() => change,
        };
        if change.is_err() {
            return;
        }
    }
}
