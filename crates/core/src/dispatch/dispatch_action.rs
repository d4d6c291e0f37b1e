use super::CallReply;
use super::RowChange;
use super::RowKey;

use crate::time::MilliTime;

/// What the endpoint's process has to do for a call that is not idempotent.
///
/// Each action but `Reply` and `Finish` is answered by one [`DispatchEvent`](super::DispatchEvent).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatchAction {
    /// Read a row; answered by `RowRead` or `ReadFailed`.
    ReadRow(RowKey),
    /// Commit a change; answered by `CommitEnded`.
    Commit(RowChange),
    /// Hand the call to the service, once and without retries; answered by `ServiceEnded`.
    CallService,
    /// Store a large body under a key in the object store; answered by `BodyStored`.
    StoreBody {
        /// The key of the object.
        key: String,
        /// The content.
        body: String,
    },
    /// Wait; answered by `WaitElapsed`.
    Wait {
        /// The time to wait for.
        until: MilliTime,
    },
    /// Send the reply to the entry; given at most once.
    Reply(CallReply),
    /// Forget the attempt; `call_state` answers `Absent` from now on.
    Finish,
}
