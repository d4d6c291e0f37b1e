use std::sync::Arc;

use dandelionroad_core::ident::RequestIdent;

use super::WorkGate;

/// The right of admitted work to run; given back when dropped.
pub struct WorkPermit {
    gate: Arc<WorkGate>,
    /// Emptied when the permit is given back.
    ticket: Option<RequestIdent>,
}

impl WorkPermit {
    /// Creates the permit of a started item.
    pub(super) fn new(gate: Arc<WorkGate>, ticket: RequestIdent) -> WorkPermit {
        WorkPermit {
            gate,
            ticket: Some(ticket),
        }
    }

    /// Gives the permit back after the work was completed, so that the gate learns the pace.
    pub fn complete(mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.gate.end(&ticket, true);
        }
    }
}

impl Drop for WorkPermit {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.gate.end(&ticket, false);
        }
    }
}
