use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::ingress::CallerServer;
use crate::ingress::serve_readiness;
use crate::order::run_orders;
use crate::peer::run_peers;
use crate::store::StoreClient;
use crate::store::run_config;
use crate::store::run_listing;
use crate::telemetry::serve_metrics;
use crate::wire::WireFormat;

use super::NodeState;
use super::RelaySettings;

/// How long a stopping process keeps accepting after it has reported that it isn't ready, in
/// milliseconds.
///
/// The balancer asks each second and needs two answers before it sends no new connections.
const UNREADY_MS: u64 = 2_500;

/// The part of the time to stop that is left when the last connections are cut, in milliseconds.
const STOP_MARGIN_MS: u64 = 300;

/// Runs a process until a signal stops it.
///
/// # Errors
///
/// Returns a text if an address can't be used or a signal can't be awaited.
pub async fn run_node(settings: RelaySettings, format: Box<dyn WireFormat>) -> Result<(), String> {
    LocalSet::new().run_until(run_local(settings, format)).await
}

async fn run_local(settings: RelaySettings, format: Box<dyn WireFormat>) -> Result<(), String> {
    let text = |error: std::io::Error| error.to_string();
    let mut terminate = signal(SignalKind::terminate()).map_err(text)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(text)?;
    let mut reload = signal(SignalKind::hangup()).map_err(text)?;
    let state = NodeState::new(settings, format);
    let callers = bind(state.settings.callers).await?;
    let readiness = bind(state.settings.readiness).await?;
    let metrics = bind(state.settings.metrics).await?;
    let peers = UdpSocket::bind(state.settings.peers).await.map_err(text)?;
    let store = Rc::new(StoreClient::new(Rc::clone(&state)));
    spdlog::info!("node: started", kv: {
        name = state.settings.name.as_str(),
        zone = state.settings.zone.as_str(),
        version = env!("CARGO_PKG_VERSION"),
    });
    spawn_local(serve_readiness(Rc::clone(&state), readiness));
    spawn_local(serve_metrics(Rc::clone(&state), metrics));
    spawn_local(run_config(Rc::clone(&state), Rc::clone(&store)));
    spawn_local(run_listing(Rc::clone(&state), Rc::clone(&store)));
    spawn_local(run_peers(Rc::clone(&state), Rc::clone(&store), peers));
    spawn_local(run_orders(Rc::clone(&state), Rc::clone(&store)));
    let server = CallerServer::start(Rc::clone(&state), callers);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => spdlog::info!("node: told to reload; the addresses stay as they are"),
        }
    }
    stop(&state, &server).await;
    Ok(())
}

async fn stop(state: &Rc<NodeState>, server: &CallerServer) {
    let started = state.clock.now();
    state.view.borrow_mut().is_stopping = true;
    spdlog::info!("node: stopping", kv: { running = state.running.get() });
    let limit_ms = state.settings.grace_ms.saturating_sub(STOP_MARGIN_MS);
    tokio::time::sleep(Duration::from_millis(UNREADY_MS.min(limit_ms))).await;
    server.close();
    let left_ms = limit_ms.saturating_sub(state.clock.now().since(started));
    let is_drained = tokio::time::timeout(Duration::from_millis(left_ms), server.drained()).await;
    spdlog::info!("node: stopped", kv: {
        running = state.running.get(),
        drained = is_drained.is_ok(),
    });
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|error| {
        format!("can't listen on {address}: {error}; free it or change the setting")
    })
}
