use std::rc::Rc;
use std::time::Duration;

use dandelionroad_clients::HttpLink;
use dandelionroad_core::relay::StoreVersion;

use crate::node::NodeState;
use crate::wire::StoreCall;
use crate::wire::StoreReply;
use crate::wire::StoreRow;
use crate::wire::StoreTable;
use crate::wire::StoreWrite;

use super::observe_version;
use super::pending_read::PendingRead;

/// The time-out of a call other than a long poll, in milliseconds.
///
/// The store responds within a few milliseconds, or within some hundred when it is slow.
const CALL_TIMEOUT_MS: u64 = 1_200;

/// The time after which a read counts as failed although its time-out has not passed, in milliseconds.
///
/// A slow store responds within some hundred milliseconds.
const OVERDUE_MS: u64 = 300;

/// The time after which the store ends a long poll without a change, in milliseconds.
///
/// Each reply confirms that the configuration is the newest. The other processes rely on a confirmation
/// for this time plus 900 ms. A change must be in force within two seconds, so that sum must stay below
/// two seconds.
pub(super) const LONG_POLL_MS: u64 = 600;

/// The client of the store.
pub struct StoreClient {
    state: Rc<NodeState>,
    link: HttpLink,
    /// The link for long polls, with a longer time-out.
    watch_link: HttpLink,
}

impl StoreClient {
    /// Creates a client of the store at the address in the settings.
    pub fn new(state: Rc<NodeState>) -> StoreClient {
        let url = format!("http://{}", state.settings.store_address);
        let link = |timeout_ms| HttpLink::new("store", &url, Duration::from_millis(timeout_ms));
        StoreClient {
            link: link(CALL_TIMEOUT_MS),
            watch_link: link(CALL_TIMEOUT_MS + LONG_POLL_MS),
            state,
        }
    }

    /// Sends one call and decodes the reply; a new era that the reply names is recorded first.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no valid reply. A write may nevertheless have been done.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, String> {
        let start = self.state.clock.now();
        let wait_ms = match call {
            StoreCall::Watch { wait_ms, .. } => Some(*wait_ms),
            StoreCall::Read { .. } => Some(0),
            StoreCall::Write(_) => None,
        };
        let pending =
            wait_ms.map(|wait_ms| PendingRead::begin(&self.state, start, wait_ms + OVERDUE_MS));
        let encoded = self.state.format.encode_store_call(call);
        let link = match call {
            StoreCall::Watch { .. } => &self.watch_link,
            StoreCall::Read { .. } | StoreCall::Write(_) => &self.link,
        };
        let headers: &[(&str, &str)] = match encoded.body.is_empty() {
            true => &[],
            false => &[("content-type", "application/json")],
        };
        let response = link
            .send(encoded.method, &encoded.path, headers, encoded.body)
            .await;
        let result = response
            .map_err(|error| error.to_string())
            .and_then(|response| {
                let reply = self.state.format.decode_store_reply(
                    call,
                    response.status,
                    &response.headers,
                    &response.body,
                );
                reply.map_err(|error| error.to_string())
            });
        drop(pending);
        let is_done = matches!(
            result,
            Ok(StoreReply::Rows { .. } | StoreReply::Written { .. } | StoreReply::Conflict)
        );
        self.state.metrics.count_store_call(is_done);
        let is_failed_read = match &result {
            Ok(StoreReply::HistoryLost) => false,
            _ => !is_done && wait_ms.is_some(),
        };
        let now = self.state.clock.now();
        let mut view = self.state.view.borrow_mut();
        if is_done {
            view.store_contact.record_answer(now);
        } else if is_failed_read {
            view.store_contact.record_failure(start, now);
        }
        drop(view);
        if let Ok(StoreReply::Rows { version, .. } | StoreReply::Written { version, .. }) = &result
        {
            observe_version(&self.state, *version);
        }
        result
    }

    /// Reads all pages of a table.
    ///
    /// Returns the rows, the version of the store, and the time on the store's clock in milliseconds; version
    /// and time are those of the last page. The read starts again if the store comes back from an older copy
    /// between two pages.
    ///
    /// # Errors
    ///
    /// Returns a message if the store doesn't reply with rows.
    pub async fn read(
        &self,
        table: StoreTable,
    ) -> Result<(Vec<StoreRow>, StoreVersion, u64), String> {
        let mut all = Vec::new();
        let mut after = None;
        let mut previous: Option<StoreVersion> = None;
        loop {
            match self.call(&StoreCall::Read { table, after }).await? {
                StoreReply::Rows {
                    rows,
                    has_more,
                    version,
                    store_ms,
                } => {
                    let last = previous.replace(version);
                    if last.is_some_and(|last| !last.is_of_same_era(version)) {
                        (all, after, previous) = (Vec::new(), None, None);
                        continue;
                    }
                    after = rows.last().map(|row| row.key.clone());
                    all.extend(rows);
                    if !has_more || after.is_none() {
                        return Ok((all, version, store_ms));
                    }
                }
                other => return Err(format!("unexpected reply of the store: {other:?}")),
            }
        }
    }

    /// Writes a row.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no valid reply. The row may nevertheless have been written.
    pub async fn write(&self, write: StoreWrite) -> Result<StoreReply, String> {
        self.call(&StoreCall::Write(write)).await
    }
}
