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
/// Returns a message if the store can't be reached or its row is malformed.
pub(super) async fn acquire_lease(
    state: &NodeState,
    store: &StoreClient,
    holder: &mut LeaseHolder,
) -> Result<(), String> {
    let read_start = state.clock.now();
    let (rows, _, store_ms) = store.read(StoreTable::Leases).await?;
    let row = rows.iter().find(|row| row.key == ORDER_LEASE_KEY);
    let value = row.and_then(|row| row.value.as_deref());
    let lease: Option<LeaseRow> = match value {
        Some(bytes) => Some(serde_json::from_slice(bytes).map_err(|error| error.to_string())?),
        None => None,
    };
    let LeaseStep::Write(next) = holder.next_step(lease.as_ref(), store_ms) else {
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
