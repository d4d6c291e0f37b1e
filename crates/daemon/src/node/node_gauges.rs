use std::sync::Arc;

use dandelionroad_settings::NodeRole;

use crate::entry::routing::model_bounds;
use crate::telemetry;
use crate::telemetry::TelemetryHub;

use super::NodeContext;

/// Records the revision in force and, at an entry, the bound of each model, whenever configuration
/// or members change and the exporter is on.
pub(super) async fn record_changes(context: Arc<NodeContext>) {
    if TelemetryHub::installed().is_none() {
        return;
    }
    let mut config = context.config.subscribe();
    let mut members = context.members.subscribe();
    loop {
        let present = config.borrow_and_update().clone();
        telemetry::record_revision(&context.settings.name, present.revision);
        let table = members.borrow_and_update().clone();
        if context.settings.role == NodeRole::Entry {
            for bound in model_bounds(&present, &table) {
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
