//! The task that runs one model request.
//!
//! It feeds the events of the head, timer ticks and connection failures into the state machine of
//! the request and performs the actions that the machine returns.

use std::sync::Arc;
use std::time::Duration;

use dandelionroad_core::admit::RetryBudget;
use dandelionroad_core::relay::AnswerProgress;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::stream::StreamAction;
use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::stream::StreamLimits;
use dandelionroad_core::stream::StreamMachine;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_core::time::MilliTime;
use dandelionroad_messages::stream_api::StreamApiClient;
use jsonrpsee::ws_client::WsClient;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::node::NodeContext;

use super::answer_event::AnswerEvent;
use super::crash_handling::end_request;
use super::crash_handling::record_crash;
use super::head_stream::HeadUpdate;
use super::head_stream::subscribe_to_head;
use super::route_choice::choose_route;
use super::route_choice::choose_version;

/// The time without an event from the head after which the stream is reopened over a new
/// connection, in tenths of the step deadline.
///
/// The head sends a progress event every 100 ms; two of them may be lost or late.
const SILENCE_TIMEOUT_TENTHS: u64 = 6;

/// The maximum number of attempts of one request, including the first one.
const MAX_ATTEMPTS: u32 = 16;

/// The interval between searches for a route while there is none, in milliseconds.
const ROUTE_RETRY_MS: u64 = 200;

/// The timeout of a cancellation at one endpoint, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 1_000;

/// Starts the task of a request and returns the events of its answer.
///
/// Dropping the receiver cancels the request.
pub(super) fn start_request(
    context: Arc<NodeContext>,
    order: StreamOrder,
    parts: Vec<PromptPart>,
) -> UnboundedReceiver<AnswerEvent> {
    let (answers, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let (update_sender, updates) = mpsc::unbounded_channel();
        let now = context.clock.now();
        let limits = StreamLimits {
            silence_ms: context.settings.step_deadline_ms * SILENCE_TIMEOUT_TENTHS / 10,
            reopen_ms: context.settings.step_deadline_ms,
            max_attempts: MAX_ATTEMPTS,
            route_retry_ms: ROUTE_RETRY_MS,
        };
        let deadline = now.plus(order.deadline_in_ms);
        let (machine, actions) = StreamMachine::start(limits, order, deadline, now);
        let driver = StreamDriver {
            context,
            machine,
            parts,
            answers,
            updates: update_sender,
            head: None,
            connection: None,
            was_refused: false,
            retries: 0,
            is_complete: false,
            progress: AnswerProgress::new(),
        };
        driver.run(actions, updates).await;
    });
    receiver
}

struct StreamDriver {
    context: Arc<NodeContext>,
    machine: StreamMachine,
    /// The parts of the prompt that other requests may share.
    parts: Vec<PromptPart>,
    answers: UnboundedSender<AnswerEvent>,
    updates: UnboundedSender<HeadUpdate>,
    head: Option<JoinHandle<()>>,
    connection: Option<Arc<WsClient>>,
    /// Whether the last event of the head was a refusal.
    was_refused: bool,
    /// The number of retries after refusals.
    retries: u32,
    /// Whether the complete answer has been sent to the caller.
    is_complete: bool,
    /// How far the answer of the present attempt has come.
    progress: AnswerProgress,
}

impl StreamDriver {
    async fn run(mut self, actions: Vec<StreamAction>, mut updates: UnboundedReceiver<HeadUpdate>) {
        self.execute_actions(actions).await;
        while !self.machine.is_done() {
            // Resetting a timer after each event costs less than ticking every stream at a fixed
            // rate.
            let wait_ms = self.machine.next_tick().since(self.now());
            let timer = tokio::time::sleep(Duration::from_millis(wait_ms.max(1)));
            let update = tokio::select! {
                update = updates.recv() => update,
                () = self.answers.closed() => {
                    self.cancel();
                    break;
                }
                () = timer => None,
            };
            let now = self.now();
            let actions = match update {
                Some(HeadUpdate::Connected(client)) => {
                    self.connection = Some(client);
                    continue;
                }
                Some(HeadUpdate::Event(event)) => {
                    self.was_refused = matches!(event, StreamEvent::Refused { .. });
                    self.avoid_failed_stage(&event, now);
                    self.machine.handle_event(event, now)
                }
                Some(HeadUpdate::Lost(attempt)) => self.machine.handle_stream_loss(attempt, now),
                Some(HeadUpdate::OpenFailed(attempt, was_sent)) => {
                    self.machine.handle_open_failure(attempt, was_sent, now)
                }
                None => self.machine.tick(now),
            };
            self.execute_actions(actions).await;
        }
        self.close_head();
        let request = self.machine.order().request.clone();
        self.context.routing.remove_request(&request);
        end_request(&self.context, self.machine.order(), self.is_complete);
    }

    async fn execute_actions(&mut self, actions: Vec<StreamAction>) {
        let mut queue = actions;
        while !queue.is_empty() {
            let mut follow_up = Vec::new();
            for action in queue {
                follow_up.extend(self.execute_action(action).await);
            }
            queue = follow_up;
        }
    }

    async fn execute_action(&mut self, action: StreamAction) -> Vec<StreamAction> {
        match action {
            StreamAction::ChooseRoute { current, replace } => {
                let repair = current.as_ref().zip(replace);
                if let Some((route, failed)) = repair
                    && let Some(lost) = route.stages.get(failed)
                {
                    let routing = &self.context.routing;
                    routing.avoid(&lost.endpoint, self.was_refused, self.now());
                }
                // If the budget grants no retry, the machine gets no route. A request that has
                // already run then searches again after a pause; that search does not use the budget.
                if std::mem::take(&mut self.was_refused) && !self.take_retry().await {
                    return self.machine.handle_route(None, self.now());
                }
                if repair.is_none() {
                    let version = choose_version(&self.context, self.machine.order());
                    self.machine.set_version(version);
                }
                let excluded = self.machine.excluded();
                let order = self.machine.order();
                let route = choose_route(&self.context, order, excluded, repair);
                return self.machine.handle_route(route, self.now());
            }
            StreamAction::CountCrash { must_wait } => {
                let order = self.machine.order().clone();
                let phase = self.progress.phase();
                if must_wait {
                    let may_retry = record_crash(&self.context, &order, &self.parts, phase).await;
                    return self.machine.handle_crash_count(may_retry, self.now());
                }
                let context = self.context.clone();
                let parts = self.parts.clone();
                tokio::spawn(async move { record_crash(&context, &order, &parts, phase).await });
            }
            StreamAction::Open {
                order,
                is_new_connection,
            } => {
                self.close_head();
                self.progress = AnswerProgress::new();
                let updates = self.updates.clone();
                let context = self.context.clone();
                let silent_client = self.connection.take().filter(|_| is_new_connection);
                let reading = subscribe_to_head(context, *order, silent_client, updates);
                self.head = Some(tokio::spawn(reading));
            }
            StreamAction::Deliver { text } => {
                if self.progress.record_event(self.now()) {
                    self.record_parts_served();
                }
                self.send_answer(AnswerEvent::Token(text));
            }
            StreamAction::Finish { reason, tokens } => {
                self.is_complete = true;
                self.record_parts_served();
                self.send_answer(AnswerEvent::Finish { reason, tokens });
            }
            StreamAction::Fail(failure) => {
                self.send_answer(AnswerEvent::Fail(failure));
                self.cancel();
            }
        }
        Vec::new()
    }

    /// Records that the answer has outlasted its start or is whole, which clears the parts of the prompt.
    fn record_parts_served(&self) {
        let tracker = &self.context.crash_tracker;
        tracker.record_parts_served(&self.parts, self.now());
    }

    /// Makes routing avoid the endpoint of a failed stage, for this and all other requests.
    ///
    /// Called for each event, so that it also happens when the fault ends this request.
    fn avoid_failed_stage(&self, event: &StreamEvent, now: MilliTime) {
        let StreamEvent::StageFault { attempt, stage, .. } = event else {
            return;
        };
        let order = self.machine.order();
        if let Some(lost) = order.route.stages.get(*stage)
            && *attempt == order.attempt
        {
            self.context.routing.avoid(&lost.endpoint, false, now);
        }
    }

    /// Takes one retry from the retry budget, as needed after a refusal, and waits for a backoff
    /// with jitter.
    ///
    /// Returns false immediately if the budget is spent.
    async fn take_retry(&mut self) -> bool {
        if !self.context.limits.take_retry() {
            return false;
        }
        let delay_ms = RetryBudget::delay_ms(self.retries, rand::random());
        self.retries += 1;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        true
    }

    fn send_answer(&self, event: AnswerEvent) {
        // The main loop detects that the caller has disconnected.
        let _ = self.answers.send(event);
    }

    fn close_head(&mut self) {
        if let Some(head) = self.head.take() {
            head.abort();
        }
    }

    /// Cancels the request at its head, which cancels the other stages.
    ///
    /// If the head can't be reached, cancels the request at each of the other stages.
    fn cancel(&self) {
        let context = self.context.clone();
        let order = self.machine.order().clone();
        tokio::spawn(async move {
            for (index, stage) in order.route.stages.iter().enumerate() {
                let cancelling = async {
                    let client = context.peers.client(&stage.address).await?;
                    client.stream_cancel(order.request.clone()).await
                };
                let timeout = Duration::from_millis(CANCEL_TIMEOUT_MS);
                let result = tokio::time::timeout(timeout, cancelling).await;
                if index == 0 && matches!(result, Ok(Ok(_))) {
                    return;
                }
            }
        });
    }

    fn now(&self) -> MilliTime {
        self.context.clock.now()
    }
}
