use std::sync::Arc;

use dandelionroad_core::ident::RequestIdent;

use super::WorkGate;

/// The right of admitted work to run; given back when dropped.
pub struct WorkPermit {
    gate: Arc<WorkGate>,
    /// Emptied when the permit is given back.
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

    /// Gives the permit back after the work was completed, so that the gate learns the pace.
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
