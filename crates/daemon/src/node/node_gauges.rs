use std::sync::Arc;

use crate::telemetry;
use crate::telemetry::TelemetryHub;

use super::NodeContext;

/// Records the revision in force whenever it changes, while the exporter is on.
pub(super) async fn record_changes(context: Arc<NodeContext>) {
    if TelemetryHub::installed().is_none() {
        return;
    }
    let mut config = context.config.subscribe();
    loop {
        let revision = config.borrow_and_update().revision;
        telemetry::record_revision(&context.settings.name, revision);
        if config.changed().await.is_err() {
            return;
        }
    }
}
