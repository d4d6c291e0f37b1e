use std::rc::Rc;
use std::time::Duration;

use dandelionroad_clients::HttpLink;

use crate::node::NodeState;
use crate::wire::StoreCall;
use crate::wire::StoreReply;
use crate::wire::StoreRow;
use crate::wire::StoreTable;
use crate::wire::StoreWrite;

/// The deadline of a call that the store answers at once, in milliseconds.
///
/// The store takes a few milliseconds; a slow one takes some hundred.
const CALL_DEADLINE_MS: u64 = 1_200;

/// The longest wait for a change in one call, in milliseconds.
///
/// Each answer confirms that the configuration is the newest. The others rely on that for twice as long
/// and a little more, which has to stay below the two seconds in which a change is to be in force.
pub(super) const WATCH_WAIT_MS: u64 = 600;

/// The client of the store.
pub struct StoreClient {
    state: Rc<NodeState>,
    link: HttpLink,
    watch_link: HttpLink,
}

impl StoreClient {
    /// Creates the client for the address in the settings.
    pub fn new(state: Rc<NodeState>) -> StoreClient {
        let url = format!("http://{}", state.settings.store_address);
        let link = |millis| HttpLink::new("store", &url, Duration::from_millis(millis));
        StoreClient {
            link: link(CALL_DEADLINE_MS),
            watch_link: link(CALL_DEADLINE_MS + WATCH_WAIT_MS),
            state,
        }
    }

    /// Sends one call.
    ///
    /// # Errors
    ///
    /// Returns a text if there is no answer that can be read; a write may have been done.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, String> {
        let encoded = self.state.format.encode_store_call(call);
        let link = match call {
            StoreCall::Watch { .. } => &self.watch_link,
            StoreCall::Read { .. } | StoreCall::Write(_) => &self.link,
        };
        let headers: &[(&str, &str)] = match encoded.body.is_empty() {
            true => &[],
            false => &[("content-type", "application/json")],
        };
        let answer = link
            .send(encoded.method, &encoded.path, headers, encoded.body)
            .await;
        let result = answer
            .map_err(|error| error.to_string())
            .and_then(|answer| {
                let reply = self
                    .state
                    .format
                    .decode_store_reply(call, answer.status, &answer.body);
                reply.map_err(|fault| fault.to_string())
            });
        let is_done = matches!(
            result,
            Ok(StoreReply::Rows { .. } | StoreReply::Written { .. } | StoreReply::Conflict)
        );
        self.state.metrics.count_store_call(is_done);
        if is_done {
            self.state.view.borrow_mut().last_store_reply = self.state.clock.now();
        }
        result
    }

    /// Reads all rows of a table; returns them with the newest version and the store's time.
    ///
    /// # Errors
    ///
    /// Returns a text if the store doesn't answer with rows.
    pub async fn read(&self, table: StoreTable) -> Result<(Vec<StoreRow>, u64, u64), String> {
        let mut all = Vec::new();
        let mut after = None;
        loop {
            match self.call(&StoreCall::Read { table, after }).await? {
                StoreReply::Rows {
                    rows,
                    has_more,
                    version,
                    store_ms,
                } => {
                    after = rows.last().map(|row| row.key.clone());
                    all.extend(rows);
                    if !has_more || after.is_none() {
                        return Ok((all, version, store_ms));
                    }
                }
                other => return Err(format!("unexpected answer: {other:?}")),
            }
        }
    }

    /// Writes a row.
    ///
    /// # Errors
    ///
    /// Returns a text if the answer is lost; the row may have been written.
    pub async fn write(&self, write: StoreWrite) -> Result<StoreReply, String> {
        self.call(&StoreCall::Write(write)).await
    }
}
