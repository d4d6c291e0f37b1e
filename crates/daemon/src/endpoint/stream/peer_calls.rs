//! Calls to other processes, with one retry over a new connection.

use std::sync::Arc;
use std::time::Duration;

use dandelionroad_core::stream::FaultKind;
use jsonrpsee::core::client::Error;
use jsonrpsee::ws_client::WsClient;

use crate::node::PeerPool;

/// The timeout of the first attempt, in tenths of the deadline of the call.
///
/// With the default deadline this is 150 ms, more than the 100 ms round trip of a link slowed down
/// 100 times.
const FIRST_ATTEMPT_TIMEOUT_TENTHS: u32 = 3;

/// Calls the process at `address`, and retries once over a new connection.
///
/// The retry covers a pooled connection that is broken, or silent for 0.3 of the deadline (see
/// [`FIRST_ATTEMPT_TIMEOUT_TENTHS`]), so the call must be safe to repeat. A refusal by the peer is
/// not retried.
pub(super) async fn call_peer<T, F>(
    peers: &PeerPool,
    address: &str,
    deadline: Duration,
    mut call: impl FnMut(Arc<WsClient>) -> F,
) -> Result<T, FaultKind>
where
    F: Future<Output = Result<T, Error>>,
{
    let first_timeout = deadline * FIRST_ATTEMPT_TIMEOUT_TENTHS / 10;
    let first = try_once(peers, address, first_timeout, &mut call).await;
    match first {
        Ok(value) => Ok(value),
        Err(FaultKind::Refused) => Err(FaultKind::Refused),
        Err(_) => try_once(peers, address, deadline - first_timeout, &mut call).await,
    }
}

async fn try_once<T, F>(
    peers: &PeerPool,
    address: &str,
    timeout: Duration,
    call: &mut impl FnMut(Arc<WsClient>) -> F,
) -> Result<T, FaultKind>
where
    F: Future<Output = Result<T, Error>>,
{
    let mut used = None;
    let attempt = async {
        let client = peers.client(address).await?;
        used = Some(client.clone());
        call(client).await
    };
    let result = tokio::time::timeout(timeout, attempt).await;
    let kind = match result {
        Ok(Ok(value)) => return Ok(value),
        Ok(Err(error)) => fault_kind(&error),
        Err(_) => FaultKind::Silent,
    };
    if let Some(client) = used
        && kind != FaultKind::Refused
    {
        peers.drop_if_current(address, &client);
    }
    Err(kind)
}

fn fault_kind(error: &Error) -> FaultKind {
    match error {
        Error::Call(_) | Error::ParseError(_) => FaultKind::Refused,
        Error::RequestTimeout => FaultKind::Silent,
        _ => FaultKind::Unreachable,
    }
}
