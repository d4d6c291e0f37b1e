use dandelionroad_core::lease::LeaseHolder;
use dandelionroad_core::lease::LeaseRow;
use dandelionroad_core::lease::LeaseStep;

use crate::node::NodeState;
use crate::store::StoreClient;
use crate::wire::StoreReply;
use crate::wire::StoreTable;
use crate::wire::StoreWrite;

/// The key of the row that names the process that gives orders.
const ORDER_KEY: &str = "orders";

/// Reads the lease and takes or renews it if it is free or held.
///
/// # Errors
///
/// Returns a text if the store can't be reached or holds a row that can't be read.
pub(super) async fn step_lease(
    state: &NodeState,
    store: &StoreClient,
    holder: &mut LeaseHolder,
) -> Result<(), String> {
    let read_start = state.clock.now();
    let (rows, _, store_ms) = store.read(StoreTable::Leases).await?;
    let row = rows.iter().find(|row| row.key == ORDER_KEY);
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
        key: ORDER_KEY.to_owned(),
        value: serde_json::to_vec(&next).map_err(|error| error.to_string())?,
        expected_version: Some(row.map_or(0, |row| row.version)),
    };
    match store.write(write).await? {
        StoreReply::Written { .. } => {
            let is_new = holder.term(read_start) != Some(next.term);
            holder.record_write(&next, read_start);
            if is_new {
                spdlog::info!("orders: lease taken", kv: { term = next.term });
            }
        }
        StoreReply::Conflict => holder.record_loss(),
        other => return Err(format!("unexpected answer: {other:?}")),
    }
    Ok(())
}
