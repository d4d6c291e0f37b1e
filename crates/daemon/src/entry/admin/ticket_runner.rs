//! Applies a change ticket by performing the actions of its state machine.

use std::time::Duration;

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::table::CommitReply;
use dandelionroad_clients::table::RowCheck;
use dandelionroad_clients::table::RowWrite;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_core::config::ChangeTicket;
use dandelionroad_core::config::CommitPlan;
use dandelionroad_core::config::StoredRow;
use dandelionroad_core::config::TicketAction;
use dandelionroad_core::config::TicketEvent;
use dandelionroad_core::config::TicketMachine;
use dandelionroad_core::config::TicketVerdict;
use spdlog::info;

use crate::control::config_store;
use crate::node::NodeContext;

/// The time within which the result of a commit whose response was lost must be determined, in
/// milliseconds.
const RESOLVE_TIMEOUT_MS: u64 = 10_000;

/// Applies a ticket, publishes the change by gossip if it is accepted, and returns the verdict.
pub(super) async fn run(context: &NodeContext, ticket: ChangeTicket) -> TicketVerdict {
    let number = ticket.number;
    let now = context.clock.now();
    let mut machine = TicketMachine::new(
        ticket,
        format!("{:032x}", rand::random::<u128>()),
        now.as_millis(),
        now.plus(RESOLVE_TIMEOUT_MS),
        context.config.borrow().clone(),
    );
    let mut action = machine.start();
    let verdict = loop {
        let event = match action {
            TicketAction::ReadRows { keys, delay_ms } => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                read_rows(context, &keys).await
            }
            TicketAction::CatchUp { .. } => catch_up(context).await,
            TicketAction::Commit(plan) => commit(context, &plan).await,
            TicketAction::Finish(verdict) => break verdict,
        };
        action = machine.handle(context.clock.now(), event);
    };
    if matches!(verdict, TicketVerdict::Accepted { .. }) {
        context
            .control
            .publish_config(machine.accepted_delta())
            .await;
    }
    info!("admin: ticket {number}: {verdict:?}");
    verdict
}

async fn read_rows(context: &NodeContext, keys: &[String]) -> TicketEvent {
    let mut rows = Vec::new();
    for key in keys {
        match context.clients.table.read(key).await {
            Ok(row) => rows.extend(row.map(|row| StoredRow {
                key: row.key,
                version: row.version,
                value: row.value,
            })),
            Err(_) => return TicketEvent::ReadFailed,
        }
    }
    TicketEvent::RowsRead(rows)
}

/// Reads the revisions that gossip has not delivered to this entry yet, and publishes them.
async fn catch_up(context: &NodeContext) -> TicketEvent {
    let held = context.config.borrow().clone();
    let table = context.clients.table.as_ref();
    let Ok(newest) = config_store::catch_up(table, &held).await else {
        return TicketEvent::ReadFailed;
    };
    if newest.revision > held.revision {
        let delta = newest.delta_since(held.revision);
        context.control.publish_config(delta).await;
    }
    TicketEvent::CaughtUp(newest)
}

async fn commit(context: &NodeContext, plan: &CommitPlan) -> TicketEvent {
    let checks = plan.checks.iter().map(|check| RowCheck {
        key: check.key.clone(),
        version: check.version,
    });
    let writes = plan.writes.iter().map(|write| RowWrite {
        key: write.key.clone(),
        value: Some(write.value.clone()),
    });
    let commit = TableCommit {
        checks: checks.collect(),
        writes: writes.collect(),
    };
    match context.clients.table.commit(&commit).await {
        Ok(CommitReply::Committed) => TicketEvent::Committed,
        Ok(CommitReply::Conflict { .. }) => TicketEvent::CommitConflicted,
        Err(PlatformError::Unreachable { .. } | PlatformError::Rejected { .. }) => {
            TicketEvent::CommitUnsent
        }
        Err(PlatformError::Indeterminate { .. } | PlatformError::Invalid { .. }) => {
            TicketEvent::CommitLost
        }
    }
}
