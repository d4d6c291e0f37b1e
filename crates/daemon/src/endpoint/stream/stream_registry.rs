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

/// The time after which a head without a subscription drops the request, in milliseconds.
///
/// An entry reopens a lost stream within about two seconds.
const ORPHAN_TIMEOUT_MS: u64 = 10_000;

/// The time without any message after which a stage other than the head drops the request, in
/// milliseconds.
const IDLE_TIMEOUT_MS: u64 = 60_000;

/// The time for which the newest attempt of a closed request is kept, in milliseconds, so that late
/// messages don't start the request again.
const CLOSED_RETENTION_MS: u64 = 60_000;

/// A closed request, its newest attempt and the time at which it was closed.
type ClosedStream = (RequestIdent, u32, MilliTime);

/// The model requests of this endpoint, each with its slot.
pub(super) struct StreamRegistry {
    /// The state shared by all tasks of the process.
    pub(super) context: Arc<NodeContext>,
    /// The queue through which requests are admitted at their head.
    pub(super) admission: StreamAdmission,
    streams: Mutex<StreamTable>,
}

/// The open and the recently closed requests; both vectors are sorted by request.
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
    /// Creates a registry without requests.
    pub(super) fn new(context: Arc<NodeContext>) -> StreamRegistry {
        StreamRegistry {
            admission: StreamAdmission::new(context.clone()),
            context,
            streams: Mutex::default(),
        }
    }

    /// Returns the slot of an open request.
    pub(super) fn slot(&self, request: &RequestIdent) -> Option<Arc<StreamSlot>> {
        self.table().slot(request)
    }

    /// Runs `event` on the machine of a slot and executes the resulting actions.
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
        let is_closed = actions.contains(&StageAction::Forget);
        for action in actions {
            match action {
                StageAction::Emit(event) => {
                    if let Some((_, sink)) = &state.sink {
                        // Fails if the subscription has ended; the entry reopens it if it needs to.
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
        if is_closed {
            state.sink = None;
            let request = state.machine.order().request.clone();
            let attempt = state.machine.attempt();
            drop(state);
            self.close(&request, attempt, slot);
        }
    }

    /// Opens the stream of an order whose head is this endpoint, or reopens it for a later attempt.
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
        // Counts a queued request, so that a leaving process waits for it too.
        let _running = self.context.requests.start();
        let permit = match self.admission.admit(&order).await {
            Ok(permit) => permit,
            Err((reason, retry_after_ms)) => {
                let event = StreamEvent::Refused {
                    attempt,
                    reason,
                    retry_after_ms,
                };
                // Fails if the entry no longer waits for the refusal.
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
                // Fails if the entry no longer waits for the refusal.
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

    /// Records that the subscription of `attempt` has ended.
    ///
    /// The request stays open for [`ORPHAN_TIMEOUT_MS`], since the entry may have lost the
    /// connection and reopen the stream.
    pub(super) fn handle_subscription_end(&self, request: &RequestIdent, attempt: u32) {
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

    /// Handles a push of the preceding stage.
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
        // Counted before the check of the loaded layers, so that an unload waits for the request.
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
        let name = EndpointName::parse(&settings.name).map_err(|_| RefusalReason::BadRequest)?;
        let limits = StageLimits {
            step_deadline_ms: settings.step_deadline_ms,
            is_whole_model: settings.engine_kind == EngineKind::WholeModel,
        };
        StageMachine::open(&name, limits, order, stage, self.context.clock.now())
    }

    /// Returns whether the engine holds the model version and the layers of a stage.
    ///
    /// While the state of the engine is unknown (sequence 0), returns true, so that the request is
    /// tried.
    fn is_stage_loaded(&self, order: &StreamOrder, stage: usize) -> bool {
        let record = self.context.local_record.borrow();
        let Some(held) = &record.held else {
            return record.sequence == 0;
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

/// Checks the deadlines and timeouts of every request until the registry is dropped.
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
