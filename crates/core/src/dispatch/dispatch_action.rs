use super::CallReply;
use super::RowChange;
use super::RowKey;

use crate::time::MilliTime;

/// An action that a [`DispatchMachine`](super::DispatchMachine) requests from the endpoint's
/// process.
///
/// Each action but `Reply` and `Finish` is answered by one [`DispatchEvent`](super::DispatchEvent).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatchAction {
    /// Read a row; answered by `RowRead` or `ReadFailed`.
    ReadRow(RowKey),
    /// Commit a change; answered by `CommitEnded`.
    Commit(RowChange),
    /// Send the call to the service, once and without retries; answered by `ServiceEnded`.
    CallService,
    /// Store a large body under a key in the object store; answered by `BodyStored`.
    StoreBody {
        /// The key of the object.
        key: String,
        /// The body of the service's answer.
        body: String,
    },
    /// Wait; answered by `WaitElapsed`.
    Wait {
        /// The end of the wait.
        until: MilliTime,
    },
    /// Send the reply to the entry; requested at most once.
    Reply(CallReply),
    /// Drop the attempt; its [`CallState`](super::CallState) is `Absent` from now on.
    Finish,
}
