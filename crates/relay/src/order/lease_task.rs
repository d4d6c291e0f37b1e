use dandelionroad_core::lease::LeaseHolder;
use dandelionroad_core::lease::LeaseRow;
use dandelionroad_core::lease::LeaseStep;

use crate::node::NodeState;
use crate::store::StoreClient;
use crate::wire::StoreReply;
use crate::wire::StoreTable;
use crate::wire::StoreWrite;

/// The key of the lease row of the process that sends placement orders.
const ORDER_LEASE_KEY: &str = "orders";

/// Acquires the lease if it is free, or renews it if this process holds it.
///
/// # Errors
///
/// Returns a message if the store can't be reached or its row is malformed, or if it comes back from an older copy
/// between the read and the write.
pub(super) async fn acquire_lease(
    state: &NodeState,
    store: &StoreClient,
    holder: &mut LeaseHolder,
) -> Result<(), String> {
    let read_start = state.clock.now();
    let (rows, version, store_ms) = store.read(StoreTable::Leases).await?;
    let (is_newest, seen_at) = {
        let era = state.view.borrow().era;
        let newest = era.newest();
        let is_newest = newest.is_some_and(|newest| newest.is_of_same_era(version));
        (is_newest, era.seen_at())
    };
    if !is_newest {
        return Err("the store came back from an older copy during the read".to_owned());
    }
    holder.enter_era(version, seen_at);
    let row = rows.iter().find(|row| row.key == ORDER_LEASE_KEY);
    let value = row.and_then(|row| row.value.as_deref());
    let lease: Option<LeaseRow> = match value {
        Some(bytes) => Some(serde_json::from_slice(bytes).map_err(|error| error.to_string())?),
        None => None,
    };
    let LeaseStep::Write(next) = holder.next_step(lease.as_ref(), store_ms, state.clock.now())
    else {
        holder.record_loss();
        return Ok(());
    };
    let write = StoreWrite {
        table: StoreTable::Leases,
        key: ORDER_LEASE_KEY.to_owned(),
        value: serde_json::to_vec(&next).map_err(|error| error.to_string())?,
        expected_version: Some(row.map_or(0, |row| row.version)),
    };
    match store.write(write).await? {
        StoreReply::Written {
            version: written, ..
        } if !written.is_of_same_era(version) => {
            // The row that was checked is not the one that was read. A lease that is held ends by its own time.
            return Err("the store came back from an older copy during the write".to_owned());
        }
        StoreReply::Written { .. } => {
            let is_new = holder.term(read_start) != Some(next.term);
            holder.record_write(&next, read_start);
            if is_new {
                spdlog::info!("orders: lease acquired", kv: { term = next.term });
            }
        }
        StoreReply::Conflict => holder.record_loss(),
        other => return Err(format!("unexpected reply of the store: {other:?}")),
    }
    Ok(())
}
