//! Carries out the actions of the machine of one request.

use std::sync::Arc;
use std::time::Duration;

use dandelionroad_core::admit::RetryBudget;
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
use super::crash_count::count_crash;
use super::crash_count::end_request;
use super::head_stream::HeadReport;
use super::head_stream::follow_head;
use super::route_choice::choose_route;
use super::route_choice::choose_version;

/// The part of the step deadline without an event of the head after which a new connection is tried,
/// in tenths.
///
/// The head sends a sign of life every 100 ms, so that two of them may be lost or late.
const SILENCE_TENTHS: u64 = 6;

/// The greatest number of attempts of one request.
const MAX_ATTEMPTS: u32 = 16;

/// The time between two searches for a route while there is none, in milliseconds.
const ROUTE_RETRY_MS: u64 = 200;

/// The time after which an unanswered cancellation is given up, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 1_000;

/// Starts a request and returns what its caller is to be told.
///
/// When the receiver is dropped, the request is cancelled.
pub(super) fn start_stream(
    context: Arc<NodeContext>,
    order: StreamOrder,
) -> UnboundedReceiver<AnswerEvent> {
    let (answers, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let (reports_in, reports) = mpsc::unbounded_channel();
        let now = context.clock.now();
        let limits = StreamLimits {
            silence_ms: context.settings.step_deadline_ms * SILENCE_TENTHS / 10,
            reopen_ms: context.settings.step_deadline_ms,
            max_attempts: MAX_ATTEMPTS,
            route_retry_ms: ROUTE_RETRY_MS,
        };
        let deadline = now.plus(order.deadline_in_ms);
        let (machine, actions) = StreamMachine::start(limits, order, deadline, now);
        let driver = StreamDriver {
            context,
            machine,
            answers,
            reports: reports_in,
            head: None,
            connection: None,
            was_refused: false,
            retries: 0,
            is_whole: false,
        };
        driver.run(actions, reports).await;
    });
    receiver
}

struct StreamDriver {
    context: Arc<NodeContext>,
    machine: StreamMachine,
    answers: UnboundedSender<AnswerEvent>,
    reports: UnboundedSender<HeadReport>,
    head: Option<JoinHandle<()>>,
    connection: Option<Arc<WsClient>>,
    /// Whether the newest event of the head was a refusal.
    was_refused: bool,
    /// The retries after refusals.
    retries: u32,
    /// Whether the whole answer was passed on.
    is_whole: bool,
}

impl StreamDriver {
    async fn run(mut self, actions: Vec<StreamAction>, mut reports: UnboundedReceiver<HeadReport>) {
        self.carry_out(actions).await;
        while !self.machine.is_done() {
            // One timer for each event costs less than a check of every stream at a fixed rate.
            let wait_ms = self.machine.next_tick().since(self.now());
            let check = tokio::time::sleep(Duration::from_millis(wait_ms.max(1)));
            let report = tokio::select! {
                report = reports.recv() => report,
                () = self.answers.closed() => {
                    self.cancel();
                    break;
                }
                () = check => None,
            };
            let now = self.now();
            let actions = match report {
                Some(HeadReport::Connected(client)) => {
                    self.connection = Some(client);
                    continue;
                }
                Some(HeadReport::Event(event)) => {
                    self.was_refused = matches!(event, StreamEvent::Refused { .. });
                    self.avoid_failed(&event, now);
                    self.machine.handle_event(event, now)
                }
                Some(HeadReport::Lost(attempt)) => self.machine.handle_stream_loss(attempt, now),
                Some(HeadReport::OpenFailed(attempt, was_sent)) => {
                    self.machine.handle_open_failure(attempt, was_sent, now)
                }
                None => self.machine.tick(now),
            };
            self.carry_out(actions).await;
        }
        self.close_head();
        let request = self.machine.order().request.clone();
        self.context.routing.remove_request(&request);
        end_request(&self.context, self.machine.order(), self.is_whole);
    }

    async fn carry_out(&mut self, actions: Vec<StreamAction>) {
        let mut queue = actions;
        while !queue.is_empty() {
            let mut follow_up = Vec::new();
            for action in queue {
                follow_up.extend(self.carry_out_one(action).await);
            }
            queue = follow_up;
        }
    }

    async fn carry_out_one(&mut self, action: StreamAction) -> Vec<StreamAction> {
        match action {
            StreamAction::ChooseRoute { current, replace } => {
                let kept = current.as_ref().zip(replace);
                if let Some((route, failed)) = kept
                    && let Some(lost) = route.stages.get(failed)
                {
                    let routing = &self.context.routing;
                    routing.avoid(&lost.endpoint, self.was_refused, self.now());
                }
                // A request that has run searches again after a pause, without the budget.
                if std::mem::take(&mut self.was_refused) && !self.may_retry().await {
                    return self.machine.handle_route(None, self.now());
                }
                if kept.is_none() {
                    let version = choose_version(&self.context, self.machine.order());
                    self.machine.set_version(version);
                }
                let excluded = self.machine.excluded();
                let order = self.machine.order();
                let route = choose_route(&self.context, order, excluded, kept);
                return self.machine.handle_route(route, self.now());
            }
            StreamAction::CountCrash { must_wait } => {
                let order = self.machine.order().clone();
                if must_wait {
                    let may_retry = count_crash(&self.context, &order).await;
                    return self.machine.handle_crash_count(may_retry, self.now());
                }
                let context = self.context.clone();
                tokio::spawn(async move { count_crash(&context, &order).await });
            }
            StreamAction::Open {
                order,
                is_new_connection,
            } => {
                self.close_head();
                let reports = self.reports.clone();
                let context = self.context.clone();
                let silent = self.connection.take().filter(|_| is_new_connection);
                let reading = follow_head(context, *order, silent, reports);
                self.head = Some(tokio::spawn(reading));
            }
            StreamAction::Deliver { text } => self.answer(AnswerEvent::Token(text)),
            StreamAction::Finish { reason, tokens } => {
                self.is_whole = true;
                self.answer(AnswerEvent::Finish { reason, tokens });
            }
            StreamAction::Fail(failure) => {
                self.answer(AnswerEvent::Fail(failure));
                self.cancel();
            }
        }
        Vec::new()
    }

    /// Avoids the endpoint of a failed stage for other requests too, also when this one ends.
    fn avoid_failed(&self, event: &StreamEvent, now: MilliTime) {
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

    /// Takes a retry after a refusal from the budget and waits with jitter.
    async fn may_retry(&mut self) -> bool {
        if !self.context.limits.try_retry() {
            return false;
        }
        let delay_ms = RetryBudget::delay_ms(self.retries, rand::random());
        self.retries += 1;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        true
    }

    fn answer(&self, event: AnswerEvent) {
        // A caller that has gone away is noticed by the loop.
        let _ = self.answers.send(event);
    }

    fn close_head(&mut self) {
        if let Some(head) = self.head.take() {
            head.abort();
        }
    }

    /// Cancels the request at its head, which cancels the other stages, or at each stage if the
    /// head can't be reached.
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
