use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::time::Duration;

use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::stream::StageAction;
use dandelionroad_core::stream::StageLimits;
use dandelionroad_core::stream::StageMachine;
use dandelionroad_core::stream::StepMessage;
use dandelionroad_core::stream::StepReply;
use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_core::time::MilliTime;
use dandelionroad_settings::EngineKind;
use tokio::sync::mpsc::UnboundedSender;

use crate::node::NodeContext;

use super::slot_state::SlotState;
use super::stage_tasks;
use super::stream_admission::StreamAdmission;
use super::stream_slot::StreamSlot;

/// The time between two checks of the deadlines, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 25;

/// The time after which a head without a subscription is forgotten, in milliseconds.
///
/// An entry opens a lost stream again within a second or two.
const ORPHAN_TIMEOUT_MS: u64 = 10_000;

/// The time after which a stage that hears nothing of a request forgets it, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 60_000;

/// The time for which the attempt of a forgotten request is kept, in milliseconds, so that its
/// late messages don't start it again.
const CLOSED_RETENTION_MS: u64 = 60_000;

/// A forgotten request: its newest attempt and when it was forgotten.
type ClosedStream = (RequestIdent, u32, MilliTime);

/// The requests of this process.
pub(super) struct StreamRegistry {
    /// What the parts of the process share.
    pub(super) context: Arc<NodeContext>,
    /// The admission at the head.
    pub(super) admission: StreamAdmission,
    streams: Mutex<StreamTable>,
}

/// Both vectors are sorted by request.
#[derive(Default)]
struct StreamTable {
    slots: Vec<(RequestIdent, Arc<StreamSlot>)>,
    closed: Vec<ClosedStream>,
}

impl StreamTable {
    fn slot(&self, request: &RequestIdent) -> Option<Arc<StreamSlot>> {
        let found = self.slots.binary_search_by(|(known, _)| known.cmp(request));
        found.ok().map(|index| self.slots[index].1.clone())
    }

    fn insert(&mut self, request: RequestIdent, slot: Arc<StreamSlot>) {
        let found = self
            .slots
            .binary_search_by(|(known, _)| known.cmp(&request));
        match found {
            Ok(index) => self.slots[index].1 = slot,
            Err(index) => self.slots.insert(index, (request, slot)),
        }
    }

    fn closed_attempt(&self, request: &RequestIdent) -> Option<u32> {
        let found = self.closed.binary_search_by(|entry| entry.0.cmp(request));
        found.ok().map(|index| self.closed[index].1)
    }

    fn close(&mut self, request: &RequestIdent, slot: &Arc<StreamSlot>, entry: ClosedStream) {
        let found = self.slots.binary_search_by(|(known, _)| known.cmp(request));
        if let Ok(index) = found
            && Arc::ptr_eq(&self.slots[index].1, slot)
        {
            self.slots.remove(index);
        }
        match self.closed.binary_search_by(|known| known.0.cmp(request)) {
            Ok(index) if self.closed[index].1 <= entry.1 => self.closed[index] = entry,
            Ok(_) => {}
            Err(index) => self.closed.insert(index, entry),
        }
    }
}

impl StreamRegistry {
    /// Creates the host without any request.
    pub(super) fn new(context: Arc<NodeContext>) -> StreamRegistry {
        StreamRegistry {
            admission: StreamAdmission::new(context.clone()),
            context,
            streams: Mutex::default(),
        }
    }

    /// Returns the slot of a request.
    pub(super) fn slot(&self, request: &RequestIdent) -> Option<Arc<StreamSlot>> {
        self.table().slot(request)
    }

    /// Runs `event` on the machine of a slot and carries out its actions.
    pub(super) fn drive(
        self: &Arc<Self>,
        slot: &Arc<StreamSlot>,
        event: impl FnOnce(&mut StageMachine, MilliTime) -> Vec<StageAction>,
    ) {
        self.drive_state(slot, |state, now| event(&mut state.machine, now));
    }

    fn drive_state(
        self: &Arc<Self>,
        slot: &Arc<StreamSlot>,
        event: impl FnOnce(&mut SlotState, MilliTime) -> Vec<StageAction>,
    ) {
        let mut state = slot.lock();
        let actions = event(&mut state, self.context.clock.now());
        let is_forgotten = actions.contains(&StageAction::Forget);
        for action in actions {
            match action {
                StageAction::Emit(event) => {
                    if let Some((_, sink)) = &state.sink {
                        // The subscription may have ended; the entry opens it again if it needs to.
                        let _ = sink.send(event);
                    }
                }
                StageAction::Forget => {}
                action => stage_tasks::spawn(self.clone(), slot.clone(), action),
            }
        }
        if state.machine.is_finished()
            && let Some(permit) = state.permit.take()
        {
            permit.complete();
        }
        if is_forgotten {
            state.sink = None;
            let request = state.machine.order().request.clone();
            let attempt = state.machine.attempt();
            drop(state);
            self.close(&request, attempt, slot);
        }
    }

    /// Opens the stream of an order here as its head.
    pub(super) async fn open(
        self: Arc<Self>,
        order: StreamOrder,
        sink: UnboundedSender<StreamEvent>,
    ) {
        let attempt = order.attempt;
        if let Some(slot) = self.slot(&order.request) {
            self.reopen(&slot, order, sink);
            return;
        }
        // A process that is leaving waits for the requests in its queue too.
        let _running = self.context.requests.start();
        let permit = match self.admission.admit(&order).await {
            Ok(permit) => permit,
            Err((reason, retry_after_ms)) => {
                let event = StreamEvent::Refused {
                    attempt,
                    reason,
                    retry_after_ms,
                };
                // The entry may be gone, in which case nobody needs the refusal.
                let _ = sink.send(event);
                return;
            }
        };
        if sink.is_closed() {
            return;
        }
        let mut table = self.table();
        if let Some(slot) = table.slot(&order.request) {
            drop(table);
            self.reopen(&slot, order, sink);
            return;
        }
        if table
            .closed_attempt(&order.request)
            .is_some_and(|closed| closed >= attempt)
        {
            return;
        }
        let request = order.request.clone();
        match self.new_machine(order, 0) {
            Ok((machine, actions)) => {
                let slot = Arc::new(StreamSlot::new(machine, &self.context));
                {
                    let mut state = slot.lock();
                    state.sink = Some((attempt, sink));
                    state.permit = Some(permit);
                }
                table.insert(request, slot.clone());
                drop(table);
                self.drive(&slot, |_, _| actions);
            }
            Err(reason) => {
                let event = StreamEvent::Refused {
                    attempt,
                    reason,
                    retry_after_ms: 0,
                };
                // As above.
                let _ = sink.send(event);
            }
        }
    }

    fn reopen(
        self: &Arc<Self>,
        slot: &Arc<StreamSlot>,
        order: StreamOrder,
        sink: UnboundedSender<StreamEvent>,
    ) {
        self.drive_state(slot, |state, now| {
            if order.attempt <= state.machine.attempt() {
                return Vec::new();
            }
            state.sink = Some((order.attempt, sink));
            state.last_activity = now;
            state.machine.reopen(order, now)
        });
    }

    /// Notes that the subscription of `attempt` has ended.
    ///
    /// The request stays for a while, in case the entry has lost the connection and opens the
    /// stream again.
    pub(super) fn subscription_ended(&self, request: &RequestIdent, attempt: u32) {
        let Some(slot) = self.slot(request) else {
            return;
        };
        let mut state = slot.lock();
        if state
            .sink
            .as_ref()
            .is_some_and(|(open, _)| *open == attempt)
        {
            state.sink = None;
            state.last_activity = self.context.clock.now();
            if state.machine.is_finished() {
                state.running = None;
                state.span = None;
            }
        }
    }

    /// Takes a push of the preceding stage.
    pub(super) fn push(self: &Arc<Self>, message: StepMessage) -> StepReply {
        let mut table = self.table();
        if let Some(slot) = table.slot(&message.request) {
            drop(table);
            return self.push_to(&slot, message);
        }
        let closed = table.closed_attempt(&message.request);
        if let Some(newest) = closed.filter(|closed| *closed >= message.attempt) {
            return StepReply::Stale { newest };
        }
        let Some(order) = message.order.clone() else {
            return StepReply::Gap { expected: 0 };
        };
        if self.admission.is_leaving() {
            let reason = RefusalReason::Leaving;
            return StepReply::Refused { reason };
        }
        // Counted before the check of what the engine holds, so that an unload waits for it.
        let _running = self.context.requests.start();
        match self.new_machine(order, message.stage) {
            Ok((machine, actions)) => {
                let slot = Arc::new(StreamSlot::new(machine, &self.context));
                table.insert(message.request.clone(), slot.clone());
                drop(table);
                self.drive(&slot, |_, _| actions);
                self.push_to(&slot, message)
            }
            Err(reason) => StepReply::Refused { reason },
        }
    }

    fn push_to(self: &Arc<Self>, slot: &Arc<StreamSlot>, message: StepMessage) -> StepReply {
        let mut reply = StepReply::Accepted;
        slot.lock().last_activity = self.context.clock.now();
        self.drive(slot, |machine, now| {
            let (answer, actions) = machine.handle_push(message, now);
            reply = answer;
            actions
        });
        reply
    }

    fn new_machine(
        &self,
        order: StreamOrder,
        stage: usize,
    ) -> Result<(StageMachine, Vec<StageAction>), RefusalReason> {
        if !self.is_stage_loaded(&order, stage) {
            return Err(RefusalReason::NotLoaded);
        }
        let settings = &self.context.settings;
        let own = EndpointName::parse(&settings.name).map_err(|_| RefusalReason::BadRequest)?;
        let limits = StageLimits {
            step_deadline_ms: settings.step_deadline_ms,
            is_whole_model: settings.engine_kind == EngineKind::WholeModel,
        };
        StageMachine::open(&own, limits, order, stage, self.context.clock.now())
    }

    /// Returns whether the engine holds what a stage needs.
    ///
    /// An engine whose state was never read (sequence 0) is tried.
    fn is_stage_loaded(&self, order: &StreamOrder, stage: usize) -> bool {
        let own = self.context.local_record.borrow();
        let Some(held) = &own.held else {
            return own.sequence == 0;
        };
        let range = order.route.stages.get(stage).map(|entry| entry.range);
        let has_layers = range
            .is_some_and(|range| held.range.first <= range.first && range.end <= held.range.end);
        held.model == order.model && held.version == order.version && has_layers
    }

    fn close(&self, request: &RequestIdent, attempt: u32, slot: &Arc<StreamSlot>) {
        let entry = (request.clone(), attempt, self.context.clock.now());
        self.table().close(request, slot, entry);
    }

    fn table(&self) -> MutexGuard<'_, StreamTable> {
        self.streams
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    fn check(self: &Arc<Self>) {
        let now = self.context.clock.now();
        let slots = {
            let mut table = self.table();
            table
                .closed
                .retain(|entry| now.since(entry.2) < CLOSED_RETENTION_MS);
            table.slots.clone()
        };
        for (_, slot) in slots {
            let is_abandoned = {
                let state = slot.lock();
                let idle_ms = now.since(state.last_activity);
                match (state.machine.is_head(), &state.sink) {
                    (true, Some(_)) => false,
                    (true, None) => idle_ms > ORPHAN_TIMEOUT_MS,
                    (false, _) => idle_ms > IDLE_TIMEOUT_MS,
                }
            };
            self.drive(&slot, |machine, now| {
                if is_abandoned {
                    machine.release()
                } else {
                    machine.tick(now)
                }
            });
        }
    }
}

/// Checks the deadlines of every request until the host is dropped.
pub(super) async fn check_deadlines(registry: Weak<StreamRegistry>) {
    let mut interval = tokio::time::interval(Duration::from_millis(CHECK_INTERVAL_MS));
    loop {
        interval.tick().await;
        let Some(registry) = registry.upgrade() else {
            return;
        };
        registry.check();
    }
}
