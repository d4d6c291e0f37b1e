use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use dandelionroad_core::relay::ByteSource;
use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use tower::Service;

use crate::memory::ByteBudget;

use super::engine_stream::EngineStream;

/// The time-out of opening a connection, in milliseconds.
///
/// Engines are in the same or another availability zone and accept a connection within two milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// The time after which another connection is opened beside those that are not open yet, in milliseconds.
///
/// The system sends a lost first packet again after a second only, which is beyond the time-out.
const CONNECT_INTERVAL_MS: u64 = 120;

/// The maximum number of connections that are opened at a time for one.
const MAX_CONNECTS: usize = 3;

/// The time for which sent bytes may stay unacknowledged before a connection is closed as dead, in
/// milliseconds.
const UNACKED_TIMEOUT_MS: u64 = 3_000;

type Connecting = <HttpConnector as Service<Uri>>::Future;

type ConnectResult =
    Result<<HttpConnector as Service<Uri>>::Response, <HttpConnector as Service<Uri>>::Error>;

/// Opens connections to engines, whose read buffers are charged to a budget.
#[derive(Clone, Debug)]
pub(super) struct EngineConnector {
    connector: HttpConnector,
    memory: ByteBudget,
}

impl EngineConnector {
    pub(super) fn new(memory: ByteBudget) -> EngineConnector {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        connector.set_nodelay(true);
        connector.set_tcp_user_timeout(Some(Duration::from_millis(UNACKED_TIMEOUT_MS)));
        EngineConnector { connector, memory }
    }
}

impl Service<Uri> for EngineConnector {
    type Response = EngineStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<EngineStream, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let memory = self.memory.clone();
        let opened = open_connection(self.connector.clone(), uri);
        Box::pin(async move {
            let stream = opened.await?;
            let held = stream.inner().peer_addr().ok();
            let held = held.map(|address| memory.hold(ByteSource::Server(address)));
            Ok(EngineStream::new(stream, held))
        })
    }
}

/// Opens a connection, and further ones beside it while none is open; returns the one that opens first.
///
/// Nothing is sent on the others, which are closed.
async fn open_connection(mut connector: HttpConnector, uri: Uri) -> ConnectResult {
    let mut connects = vec![connector.call(uri.clone())];
    loop {
        let has_more = connects.len() < MAX_CONNECTS;
        tokio::select! {
            biased;
            opened = next_result(&mut connects) => return opened,
            () = tokio::time::sleep(Duration::from_millis(CONNECT_INTERVAL_MS)), if has_more => {
                connects.push(connector.call(uri.clone()));
            }
        }
    }
}

/// Waits until one of the connections is open or has failed.
async fn next_result(connects: &mut [Connecting]) -> ConnectResult {
    std::future::poll_fn(|context| {
        for connect in connects.iter_mut() {
            if let Poll::Ready(opened) = Pin::new(connect).poll(context) {
                return Poll::Ready(opened);
            }
        }
        Poll::Pending
    })
    .await
}
