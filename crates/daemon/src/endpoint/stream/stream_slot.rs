use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelionroad_core::stream::StageMachine;

use crate::node::NodeContext;
use crate::telemetry::HopKind;
use crate::telemetry::HopSpan;

use super::slot_state::SlotState;

/// One model request in progress at this endpoint.
pub(super) struct StreamSlot {
    state: Mutex<SlotState>,
}

impl StreamSlot {
    /// Creates the slot of a new machine, without a subscription.
    pub(super) fn new(machine: StageMachine, context: &NodeContext) -> StreamSlot {
        let request = &machine.order().request;
        let mut span = HopSpan::start(HopKind::Stage, request, &context.settings.name);
        span.set_number("attempt", u64::from(machine.attempt()));
        StreamSlot {
            state: Mutex::new(SlotState {
                machine,
                sink: None,
                permit: None,
                running: Some(context.requests.start()),
                span: Some(span),
                last_activity: context.clock.now(),
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
