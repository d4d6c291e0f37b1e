use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelionroad_core::stream::StageMachine;
use dandelionroad_core::time::MilliTime;

use super::slot_state::SlotState;

/// One request at this process.
pub(super) struct StreamSlot {
    state: Mutex<SlotState>,
}

impl StreamSlot {
    /// Creates the slot of a machine without a subscription.
    pub(super) fn new(machine: StageMachine, now: MilliTime) -> StreamSlot {
        StreamSlot {
            state: Mutex::new(SlotState {
                machine,
                sink: None,
                permit: None,
                heard_at: now,
            }),
        }
    }

    /// Locks the state; never held over an await.
    pub(super) fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
