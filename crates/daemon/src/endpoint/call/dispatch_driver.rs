//! Runs one attempt of a call that is not idempotent.
//!
//! The dispatch machine of core decides; the driver executes its actions one at a time: reads and
//! commits of rows, the call to the service, the upload of a large body to the object store, and
//! waits. The deadline of the call interrupts no action: it only causes the reply to be sent, and the
//! attempt goes on until its outcome is recorded.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::CallReply;
use dandelionroad_core::dispatch::DispatchAction;
use dandelionroad_core::dispatch::DispatchEvent;
use dandelionroad_core::dispatch::DispatchMachine;
use dandelionroad_core::dispatch::RunnerIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use dandelionroad_core::time::MilliTime;
use tokio::sync::oneshot;

use crate::call_rows::commit_row;
use crate::call_rows::read_row;
use crate::endpoint::admission::WorkPermit;
use crate::node::RunningRequest;

use super::call_registry::CallRegistry;
use super::call_server::new_refusal;
use super::plain_call::call_service;

/// Executes the actions of the dispatch machine of one attempt.
struct DispatchDriver {
    registry: Arc<CallRegistry>,
    order: Arc<CallOrder>,
    runner: RunnerIdent,
    machine: DispatchMachine,
    /// The channel to the waiting entry; `None` once the reply is sent.
    reply: Option<oneshot::Sender<CallReply>>,
    /// Released when the call to the service has ended.
    permit: Option<WorkPermit>,
}

/// Runs one attempt and returns its reply.
///
/// The attempt runs in a task of its own, so that its outcome is recorded even if the connection to
/// the entry breaks or the reply is sent earlier. `running` is held until the outcome is recorded.
pub(super) async fn run(
    registry: &Arc<CallRegistry>,
    order: CallOrder,
    permit: WorkPermit,
    running: RunningRequest,
) -> CallReply {
    let runner = registry.runner();
    let now = registry.context.clock.now();
    let token = format!("{}-{:032x}", runner.name, rand::random::<u128>());
    let started = DispatchMachine::start(&order, runner.clone(), token, now);
    let (Some((machine, actions)), Some(key)) = (started, order.row.clone()) else {
        return new_refusal(RequestOutcome::NotRun, RefusalReason::BadRequest);
    };
    let (sender, receiver) = oneshot::channel();
    registry.begin_attempt(&key, runner.incarnation);
    let driver = DispatchDriver {
        registry: registry.clone(),
        order: Arc::new(order),
        runner: runner.clone(),
        machine,
        reply: Some(sender),
        permit: Some(permit),
    };
    let registry = registry.clone();
    tokio::spawn(async move {
        driver.drive(actions).await;
        registry.end_attempt(&key, runner.incarnation);
        drop(running);
    });
    // The machine replies at its deadline at the latest. Without a reply, the outcome is unknown.
    let reply = receiver.await;
    reply.unwrap_or_else(|_| new_refusal(RequestOutcome::Unknown, RefusalReason::EndpointLost))
}

impl DispatchDriver {
    async fn drive(mut self, actions: Vec<DispatchAction>) {
        let mut queue = VecDeque::from(actions);
        let mut has_deadline = true;
        while let Some(action) = queue.pop_front() {
            let (registry, order) = (self.registry.clone(), self.order.clone());
            let incarnation = self.runner.incarnation;
            let executing = match action {
                DispatchAction::Finish => return,
                DispatchAction::Reply(reply) => {
                    self.send(reply);
                    continue;
                }
                action => execute(&registry, &order, incarnation, action),
            };
            tokio::pin!(executing);
            loop {
                let deadline = sleep_until(&registry, self.machine.deadline());
                tokio::select! {
                    event = &mut executing => {
                        if let DispatchEvent::ServiceEnded(_) = event {
                            self.release_permit();
                        }
                        queue.extend(self.handle(event));
                        break;
                    }
                    () = deadline, if has_deadline => {
                        has_deadline = false;
                        // The reply is the only action at the deadline.
                        for action in self.handle(DispatchEvent::DeadlinePassed) {
                            if let DispatchAction::Reply(reply) = action {
                                self.send(reply);
                            }
                        }
                    }
                }
            }
        }
    }

    fn release_permit(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.complete();
        }
    }

    fn handle(&mut self, event: DispatchEvent) -> Vec<DispatchAction> {
        self.machine
            .handle(event, self.registry.context.clock.now())
    }

    fn send(&mut self, reply: CallReply) {
        if let Some(sender) = self.reply.take() {
            // Fails if the entry no longer waits; the outcome is recorded all the same.
            let _ = sender.send(reply);
        }
    }
}

async fn execute(
    registry: &CallRegistry,
    order: &CallOrder,
    incarnation: u64,
    action: DispatchAction,
) -> DispatchEvent {
    let clients = &registry.context.clients;
    match action {
        DispatchAction::ReadRow(key) => match read_row(clients.table.as_ref(), &key).await {
            Ok(found) => DispatchEvent::RowRead(found),
            Err(_) => DispatchEvent::ReadFailed,
        },
        DispatchAction::Commit(change) => {
            DispatchEvent::CommitEnded(commit_row(clients.table.as_ref(), &change).await)
        }
        DispatchAction::CallService => {
            DispatchEvent::ServiceEnded(call_service(&registry.context, order, incarnation).await)
        }
        DispatchAction::StoreBody { key, body } => {
            let stored = clients.object.put(&key, Bytes::from(body)).await;
            DispatchEvent::BodyStored(stored.is_ok())
        }
        DispatchAction::Wait { until } => {
            sleep_until(registry, until).await;
            DispatchEvent::WaitElapsed
        }
        DispatchAction::Reply(_) | DispatchAction::Finish => DispatchEvent::WaitElapsed,
    }
}

async fn sleep_until(registry: &CallRegistry, time: MilliTime) {
    let remaining_ms = time.since(registry.context.clock.now());
    tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
}
