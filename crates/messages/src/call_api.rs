//! The interface for calls to plain services.

use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::CallState;
use dandelionroad_core::dispatch::RowKey;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::CallAnswer;

/// The interface of an endpoint for calls to its plain service.
#[rpc(client, server)]
pub trait CallApi {
    /// Runs a call and returns its result, or the reason why it was not run.
    #[method(name = "call_run")]
    async fn call_run(&self, order: CallOrder) -> RpcResult<CallAnswer>;

    /// Returns `Running` if the endpoint still runs an attempt or records its outcome, otherwise
    /// `Absent`.
    ///
    /// `row` is the key of the attempt's row, and `incarnation` is the incarnation of the process when it
    /// dispatched the attempt. If the process has restarted since, the answer is `Absent`.
    #[method(name = "call_state")]
    async fn call_state(&self, row: RowKey, incarnation: u64) -> RpcResult<CallState>;
}
