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
/// Engines are in the same or another availability zone and accept a connection within two milliseconds. A
/// lost packet is retransmitted after some hundred milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// The time for which sent bytes may stay unacknowledged before a connection is closed as dead, in
/// milliseconds.
const UNACKED_TIMEOUT_MS: u64 = 3_000;

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
        let opened = self.connector.call(uri);
        Box::pin(async move {
            let stream = opened.await?;
            let held = stream.inner().peer_addr().ok();
            let held = held.map(|address| memory.hold(ByteSource::Server(address)));
            Ok(EngineStream::new(stream, held))
        })
    }
}
