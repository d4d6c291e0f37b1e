//! Admission and accounting of requests that may have crashed an endpoint.
//!
//! A request that crashes the engine that runs it would be retried at endpoint after endpoint and
//! crash them all. Crashes are therefore counted by the fingerprint of the request. After the first
//! one, the request runs again only as a suspect, once the table service has stored the crash.
//! After the second one, it is refused permanently. A complete answer clears the count.
//! Chats that share only a message are refused by that message, as counting by request finds none of them.

use std::sync::Arc;
use std::time::Duration;

use dandelionroad_core::admit::CrashVerdict;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::relay::RunPhase;
use dandelionroad_core::stream::StreamOrder;

use crate::entry::caller_error::CallerError;
use crate::node::NodeContext;

/// The number of crashes after which a request is refused permanently.
const CRASHES_BEFORE_REFUSAL: u32 = 2;

/// The interval at which a request checks whether a running suspect with the same fingerprint has
/// ended, in milliseconds.
const SUSPECT_POLL_INTERVAL_MS: u64 = 50;

/// The pause before the stored crashes are read again, in milliseconds.
const LOAD_RETRY_MS: u64 = 1_000;

/// Decides whether a request may run, and marks it as a suspect if a run of it crashed before.
///
/// Waits while the same request is running as a suspect at this entry, until the deadline of
/// `order`.
pub(super) async fn admit_request(
    context: &NodeContext,
    order: &mut StreamOrder,
    parts: &[PromptPart],
) -> Result<(), CallerError> {
    let request = order.request.clone();
    let now = context.clock.now();
    if !context.crash_tracker.admits_parts(parts, now) {
        let detail = "a message of the chat crashed the endpoints that ran it";
        return Err(CallerError::not_run(
            &request,
            RefusalReason::Crasher,
            detail,
        ));
    }
    let deadline = context.clock.now().plus(order.deadline_in_ms);
    let fingerprint = order.fingerprint.clone();
    let tracker = &context.crash_tracker;
    let mut is_row_read = tracker.is_load_tried();
    loop {
        let known = context.crashes.borrow().clone();
        match tracker.start_run(&fingerprint, &known) {
            CrashVerdict::Clear if !is_row_read => {
                // The process has just started, and gossip may not have what the row holds.
                is_row_read = true;
                tracker.end_run(&fingerprint);
                let table = context.clients.table.as_ref();
                if let Some(record) = tracker.load_request(table, &fingerprint).await {
                    context.control.publish_crash(record).await;
                }
            }
            CrashVerdict::Clear => return Ok(()),
            CrashVerdict::Suspect => {
                order.suspect = true;
                return Ok(());
            }
            CrashVerdict::Refused => {
                let detail = "the request crashed the endpoints that ran it";
                return Err(CallerError {
                    outcome: RequestOutcome::Failed,
                    ..CallerError::not_run(&request, RefusalReason::Crasher, detail)
                });
            }
            CrashVerdict::PersistFirst => {
                let table = context.clients.table.as_ref();
                let Some(record) = context
                    .crash_tracker
                    .persist_runs(table, &fingerprint)
                    .await
                else {
                    let detail = "a crash of the request can't be stored in the table service";
                    let reason = RefusalReason::StoreDown;
                    return Err(CallerError::not_run(&request, reason, detail));
                };
                context.control.publish_crash(record).await;
            }
            CrashVerdict::Wait => {
                if context.clock.now() >= deadline {
                    let detail =
                        "an identical request that may have crashed an endpoint is still running";
                    let reason = RefusalReason::Overloaded;
                    return Err(CallerError::not_run(&request, reason, detail));
                }
                tokio::time::sleep(Duration::from_millis(SUSPECT_POLL_INTERVAL_MS)).await;
            }
        }
    }
}

/// Records a possible crash of a request and returns whether the request may be retried.
///
/// It may not if the table service can't store the crash, or after [`CRASHES_BEFORE_REFUSAL`]
/// crashes.
pub(super) async fn record_crash(
    context: &NodeContext,
    order: &StreamOrder,
    parts: &[PromptPart],
    phase: RunPhase,
) -> bool {
    spdlog::warn!(
        "entry: request may have crashed an endpoint",
        kv: { request = order.request.as_str() }
    );
    let mut is_allowed = true;
    if phase == RunPhase::Starting {
        let run = format!("{}/{}", order.request, order.attempt);
        let now = context.clock.now();
        is_allowed = context.crash_tracker.record_part_crash(parts, &run, now);
    }
    let table = context.clients.table.as_ref();
    let Some(record) = context.crash_tracker.record_crash(table, order).await else {
        return false;
    };
    let may_retry = is_allowed && record.count < CRASHES_BEFORE_REFUSAL;
    context.control.publish_crash(record).await;
    may_retry
}

/// Records the end of a request; a complete answer clears its crashes.
pub(super) fn end_request(context: &Arc<NodeContext>, order: &StreamOrder, is_complete: bool) {
    let fingerprint = order.fingerprint.clone();
    if !is_complete {
        context.crash_tracker.end_run(&fingerprint);
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        let known = context.crashes.borrow().clone();
        let table = context.clients.table.as_ref();
        let tracker = &context.crash_tracker;
        if let Some(record) = tracker.complete_run(table, &fingerprint, &known).await {
            context.control.publish_crash(record).await;
        }
    });
}

/// Reads the crashes that earlier processes stored, and publishes them by gossip.
///
/// Until the table service has answered once, each request looks for its own row.
pub(in crate::entry) async fn load_crashes(context: Arc<NodeContext>) {
    let table = context.clients.table.as_ref();
    loop {
        match context.crash_tracker.load(table).await {
            Ok(records) => {
                for record in records {
                    context.control.publish_crash(record).await;
                }
                return;
            }
            Err(error) => {
                spdlog::debug!("entry: can't read the crashes of requests, retrying: {error}");
                tokio::time::sleep(Duration::from_millis(LOAD_RETRY_MS)).await;
            }
        }
    }
}
