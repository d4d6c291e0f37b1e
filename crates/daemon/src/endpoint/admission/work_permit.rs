use std::sync::Arc;

use dandelionroad_core::ident::RequestIdent;

use super::WorkGate;

/// A permit of admitted work to run; released when dropped.
pub struct WorkPermit {
    gate: Arc<WorkGate>,
    /// The admitted item; `None` once the permit is released.
    item_id: Option<RequestIdent>,
}

impl WorkPermit {
    /// Creates the permit of a started item.
    pub(super) fn new(gate: Arc<WorkGate>, item_id: RequestIdent) -> WorkPermit {
        WorkPermit {
            gate,
            item_id: Some(item_id),
        }
    }

    /// Releases the permit of completed work, whose duration the gate uses to estimate its rate.
    pub fn complete(mut self) {
        if let Some(item_id) = self.item_id.take() {
            self.gate.release(&item_id, true);
        }
    }
}

impl Drop for WorkPermit {
    fn drop(&mut self) {
        if let Some(item_id) = self.item_id.take() {
            self.gate.release(&item_id, false);
        }
    }
}
