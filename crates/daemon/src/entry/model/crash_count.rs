//! Counts possible crashes of requests.

use std::sync::Arc;
use std::time::Duration;

use dandelionroad_core::admit::CrashVerdict;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use dandelionroad_core::stream::StreamOrder;

use crate::entry::caller_error::CallerError;
use crate::node::NodeContext;

/// The number of crashes at which a request is refused for good.
const REFUSE_COUNT: u32 = 2;

/// The time between two looks at a suspect of the same content that runs, in milliseconds.
const WAIT_INTERVAL_MS: u64 = 50;

/// Decides whether a request may run and marks it as a suspect if it was in a crash before.
pub(super) async fn admit_request(
    context: &NodeContext,
    order: &mut StreamOrder,
) -> Result<(), CallerError> {
    let request = order.request.clone();
    let deadline = context.clock.now().plus(order.deadline_in_ms);
    let fingerprint = order.fingerprint.clone();
    loop {
        let known = context.crashes.borrow().clone();
        match context.crash_tracker.start_run(&fingerprint, &known) {
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
                    let detail = "the request was in a crash that can't be recorded now";
                    let reason = RefusalReason::StoreDown;
                    return Err(CallerError::not_run(&request, reason, detail));
                };
                context.control.publish_crash(record).await;
            }
            CrashVerdict::Wait => {
                if context.clock.now() >= deadline {
                    let detail = "an equal request that was in a crash is still running";
                    let reason = RefusalReason::Overloaded;
                    return Err(CallerError::not_run(&request, reason, detail));
                }
                tokio::time::sleep(Duration::from_millis(WAIT_INTERVAL_MS)).await;
            }
        }
    }
}

/// Counts a possible crash of the request and returns whether it may be retried.
pub(super) async fn count_crash(context: &NodeContext, order: &StreamOrder) -> bool {
    spdlog::warn!(
        "entry: a request may have crashed an endpoint",
        kv: { request = order.request.as_str() }
    );
    let table = context.clients.table.as_ref();
    let Some(record) = context.crash_tracker.record_crash(table, order).await else {
        return false;
    };
    let may_retry = record.count < REFUSE_COUNT;
    context.control.publish_crash(record).await;
    may_retry
}

/// Notes the end of a request; a whole answer clears its crashes.
pub(super) fn end_request(context: &Arc<NodeContext>, order: &StreamOrder, is_whole: bool) {
    let fingerprint = order.fingerprint.clone();
    if !is_whole {
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
