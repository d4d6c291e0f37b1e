use std::sync::Arc;

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::table::CommitReply;
use dandelionroad_clients::table::RowCheck;
use dandelionroad_clients::table::RowWrite;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::order::FenceNumber;
use dandelionroad_core::order::LeaveVerdict;
use dandelionroad_core::order::LoadTarget;
use dandelionroad_core::order::ReadyEntry;
use dandelionroad_core::order::ReadyRow;
use dandelionroad_core::order::TurnRow;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::node::NodeContext;

/// The maximum number of engines that load from the weight store at the same time.
const WEIGHT_LOAD_SLOTS: u64 = 4;

/// The lease of a slot for loads from the weight store, in milliseconds; longer than a typical
/// load.
const WEIGHT_LOAD_LEASE_MS: u64 = 120_000;

/// The maximum number of attempts to change a row that other processes change at the same time.
const MAX_CONFLICTS: u32 = 8;

/// The rows in the table service that coordinate the loads of engines.
///
/// They hold the fencing token of each endpoint, the ready endpoints of each pool, and the leases
/// on the slots for loads from the weight store (rows `turn/<slot>`).
pub(super) struct OrderRows {
    context: Arc<NodeContext>,
    name: EndpointName,
    /// The number of the slot for loads from the weight store that this process holds.
    slot: Option<u64>,
}

impl OrderRows {
    /// Creates the access to the rows for the endpoint `name`.
    pub(super) fn new(context: Arc<NodeContext>, name: EndpointName) -> OrderRows {
        OrderRows {
            context,
            name,
            slot: None,
        }
    }

    /// Takes the next fencing token, derived from the clock alone if the table service fails.
    pub(super) async fn take_fence(&self) -> FenceNumber {
        let now = self.context.clock.now();
        let key = format!("fence/{}", self.name);
        let taken = self.change(key, |stored: Option<FenceNumber>| {
            let fence = FenceNumber::next(stored, now);
            (Some(fence), fence)
        });
        taken.await.unwrap_or_else(|_| FenceNumber::next(None, now))
    }

    /// Removes this endpoint from the ready endpoints of its pool, if enough remain or `forced`.
    ///
    /// Members that are gone don't count as ready. Returns `None` if the table service failed.
    pub(super) async fn leave_ready(
        &self,
        target: &LoadTarget,
        forced: bool,
    ) -> Option<LeaveVerdict> {
        let members = self.context.members.borrow().clone();
        let is_gone = |name: &EndpointName| {
            members
                .get(name.as_str())
                .is_some_and(|record| record.state == MemberState::Gone)
        };
        let key = ready_key(target);
        let left = self.change(key, |row: Option<ReadyRow>| {
            let mut row = row.unwrap_or_default();
            row.remove_gone(is_gone);
            let verdict = row.leave(&self.name, target, forced);
            (Some(row), verdict)
        });
        left.await.ok()
    }

    /// Adds this endpoint to the ready endpoints of its pool and returns whether that was
    /// committed.
    pub(super) async fn join_ready(&self, target: &LoadTarget) -> bool {
        let entry = ReadyEntry {
            name: self.name.clone(),
            version: target.version,
            range: target.range,
        };
        let joined = self.change(ready_key(target), |row: Option<ReadyRow>| {
            let mut row = row.unwrap_or_default();
            row.join(&entry);
            (Some(row), ())
        });
        joined.await.is_ok()
    }

    /// Acquires a free slot for loads from the weight store and returns whether there was one.
    ///
    /// Returns `None` if the table service failed.
    pub(super) async fn take_load_slot(&mut self) -> Option<bool> {
        let now = self.context.clock.now();
        for slot in 0..WEIGHT_LOAD_SLOTS {
            let taken = self.change(load_slot_key(slot), |row: Option<TurnRow>| {
                let taken =
                    TurnRow::take(row.as_ref(), self.name.as_str(), now, WEIGHT_LOAD_LEASE_MS);
                let is_taken = taken.is_some();
                (taken.or(row), is_taken)
            });
            if taken.await.ok()? {
                self.slot = Some(slot);
                return Some(true);
            }
        }
        Some(false)
    }

    /// Releases the slot of this process. If the table service fails, the lease on it expires.
    pub(super) async fn release_load_slot(&mut self) {
        let Some(slot) = self.slot.take() else {
            return;
        };
        let released = self.change(load_slot_key(slot), |row: Option<TurnRow>| {
            (row.filter(|row| !row.is_held_by(self.name.as_str())), ())
        });
        if let Err(error) = released.await {
            spdlog::warn!(
                "endpoint: failed to release slot {slot} for loads from the weight store; other \
                 endpoints can't use it until its lease of {WEIGHT_LOAD_LEASE_MS} ms expires: \
                 {error}"
            );
        }
    }

    /// Changes a row by compare-and-set. `apply` maps the current content to the new one and a
    /// result.
    ///
    /// After a conflict, `apply` runs again on the row as it is then. A commit whose answer was
    /// lost may therefore be applied twice; every change made here is safe to repeat.
    async fn change<T, R>(
        &self,
        key: String,
        apply: impl Fn(Option<T>) -> (Option<T>, R),
    ) -> Result<R, PlatformError>
    where
        T: DeserializeOwned + Serialize,
    {
        let table = &self.context.clients.table;
        for _ in 0..MAX_CONFLICTS {
            let row = table.read(&key).await?;
            let version = row.as_ref().map(|row| row.version);
            let content = row.map(|row| parse(&row.value)).transpose()?;
            let (next, result) = apply(content);
            let value = next.map(|next| encode(&next)).transpose()?;
            let commit = TableCommit {
                checks: vec![RowCheck {
                    key: key.clone(),
                    version,
                }],
                writes: vec![RowWrite {
                    key: key.clone(),
                    value,
                }],
            };
            if table.commit(&commit).await? == CommitReply::Committed {
                return Ok(result);
            }
        }
        let detail = format!("row {key}: {MAX_CONFLICTS} attempts to change it all conflicted");
        Err(PlatformError::Rejected {
            system: "the table service",
            status: 409,
            detail,
        })
    }
}

fn ready_key(target: &LoadTarget) -> String {
    format!("ready/{}", target.pool)
}

fn load_slot_key(slot: u64) -> String {
    format!("turn/{slot}")
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, PlatformError> {
    serde_json::from_str(text).map_err(|error| invalid_row(&error))
}

fn encode<T: Serialize>(content: &T) -> Result<String, PlatformError> {
    serde_json::to_string(content).map_err(|error| invalid_row(&error))
}

fn invalid_row(error: &serde_json::Error) -> PlatformError {
    PlatformError::Invalid {
        system: "the table service",
        detail: error.to_string(),
    }
}
