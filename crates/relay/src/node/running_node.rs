use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::ShutdownPlan;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use crate::ingress::CallerServer;
use crate::ingress::serve_readiness;
use crate::memory::avoid_floods;
use crate::order::run_orders;
use crate::peer::run_peers;
use crate::store::StoreClient;
use crate::store::run_config;
use crate::store::run_crash_record;
use crate::store::run_listing;
use crate::telemetry::serve_metrics;
use crate::wire::WireFormat;

use super::NodeState;
use super::RelaySettings;
use super::task_supervisor::supervise;

/// The time for which a stopping process still accepts connections while it reports that it isn't ready,
/// in milliseconds.
///
/// The load balancer checks each second and needs two failed checks before it stops sending connections.
const UNREADY_MS: u64 = 2_500;

/// The time between cutting the last connections and the end of the grace period, in milliseconds.
const STOP_MARGIN_MS: u64 = 300;

/// A relay process whose tasks run on the current thread; they end when the value is dropped.
pub struct RunningNode {
    state: Rc<NodeState>,
    server: CallerServer,
    tasks: JoinSet<()>,
}

impl RunningNode {
    /// Binds the addresses and starts the tasks; port 0 picks a free port.
    ///
    /// Must be called within a [`LocalSet`](tokio::task::LocalSet).
    ///
    /// # Errors
    ///
    /// Returns a message that names the address that can't be bound.
    pub async fn start(
        settings: RelaySettings,
        format: Box<dyn WireFormat>,
    ) -> Result<RunningNode, String> {
        let mut settings = settings;
        let callers = bind(&mut settings.caller_address).await?;
        let readiness = bind(&mut settings.readiness_address).await?;
        let metrics = bind(&mut settings.metrics_address).await?;
        let peers = UdpSocket::bind(settings.peer_address).await;
        let peers = peers.map_err(|error| bind_error(settings.peer_address, &error))?;
        settings.peer_address = peers.local_addr().map_err(|error| error.to_string())?;
        let state = NodeState::new(settings, format);
        spdlog::info!("node: started", kv: {
            name = state.settings.name.as_str(),
            zone = state.settings.zone.as_str(),
            version = env!("CARGO_PKG_VERSION"),
        });
        let tasks = start_tasks(&state, readiness, metrics, peers);
        let server = CallerServer::start(Rc::clone(&state), callers);
        Ok(RunningNode {
            state,
            server,
            tasks,
        })
    }

    /// Returns the settings with the bound addresses.
    pub fn settings(&self) -> &RelaySettings {
        &self.state.settings
    }

    /// Applies the reloadable settings at once; the others take effect at the next start.
    pub fn reload(&self, settings: &RelaySettings) {
        let state = &self.state;
        let bounds = settings.bounds;
        let is_changed = state.bounds.replace(bounds) != bounds;
        if is_changed {
            state.view.borrow_mut().set_bounds(bounds);
            state.memory.set_limit(bounds.held_limit());
        }
        spdlog::info!("node: settings reloaded", kv: {
            changed = is_changed,
            key_age_ms = bounds.key_age_ms,
            list_interval_ms = bounds.list_interval_ms,
            retry_percent = bounds.retry_percent,
            retry_slack = bounds.retry_slack,
            grace_ms = bounds.grace_ms,
            memory_bytes = bounds.memory_bytes,
        });
    }

    /// Shuts the process down gracefully within the grace period.
    ///
    /// Reports that the process isn't ready, waits for the running requests to end, and cuts the last ones
    /// at the stop deadline.
    pub async fn stop(mut self) {
        let state = &self.state;
        let started = state.clock.now();
        state.view.borrow_mut().is_stopping = true;
        spdlog::info!("node: stopping", kv: { running = state.running_requests.get() });
        let limit_ms = state.bounds.get().grace_ms.saturating_sub(STOP_MARGIN_MS);
        let plan = ShutdownPlan::new(started, limit_ms);
        state.shutdown.set(Some(plan));
        tokio::time::sleep(Duration::from_millis(UNREADY_MS.min(limit_ms))).await;
        self.server.close();
        let left_ms = plan.end().since(state.clock.now());
        let drained = self.server.wait_drained();
        let is_drained = tokio::time::timeout(Duration::from_millis(left_ms), drained).await;
        spdlog::info!("node: stopped", kv: {
            running = state.running_requests.get(),
            drained = is_drained.is_ok(),
        });
        self.tasks.abort_all();
    }
}

/// Starts the background tasks, each of which is started again if it panics.
fn start_tasks(
    state: &Rc<NodeState>,
    readiness: TcpListener,
    metrics: TcpListener,
    peers: UdpSocket,
) -> JoinSet<()> {
    let store = Rc::new(StoreClient::new(Rc::clone(state)));
    let (readiness, metrics, peers) = (Rc::new(readiness), Rc::new(metrics), Rc::new(peers));
    let shared = || (Rc::clone(state), Rc::clone(&store));
    let mut tasks = JoinSet::new();
    let (own, _) = shared();
    tasks.spawn_local(supervise(Rc::clone(state), "readiness", move || {
        serve_readiness(Rc::clone(&own), Rc::clone(&readiness))
    }));
    let (own, _) = shared();
    tasks.spawn_local(supervise(Rc::clone(state), "metrics", move || {
        serve_metrics(Rc::clone(&own), Rc::clone(&metrics))
    }));
    let (own, _) = shared();
    tasks.spawn_local(supervise(Rc::clone(state), "memory", move || {
        avoid_floods(Rc::clone(&own))
    }));
    let (own, store_client) = shared();
    tasks.spawn_local(supervise(Rc::clone(state), "config", move || {
        run_config(Rc::clone(&own), Rc::clone(&store_client))
    }));
    let (own, store_client) = shared();
    tasks.spawn_local(supervise(Rc::clone(state), "crashes", move || {
        run_crash_record(Rc::clone(&own), Rc::clone(&store_client))
    }));
    let (own, store_client) = shared();
    tasks.spawn_local(supervise(Rc::clone(state), "listing", move || {
        run_listing(Rc::clone(&own), Rc::clone(&store_client))
    }));
    let (own, store_client) = shared();
    tasks.spawn_local(supervise(Rc::clone(state), "peers", move || {
        let socket = Rc::clone(&peers);
        run_peers(Rc::clone(&own), Rc::clone(&store_client), socket)
    }));
    let (own, store_client) = shared();
    tasks.spawn_local(supervise(Rc::clone(state), "orders", move || {
        run_orders(Rc::clone(&own), Rc::clone(&store_client))
    }));
    tasks
}

async fn bind(address: &mut SocketAddr) -> Result<TcpListener, String> {
    let listener = TcpListener::bind(*address).await;
    let listener = listener.map_err(|error| bind_error(*address, &error))?;
    *address = listener.local_addr().map_err(|error| error.to_string())?;
    Ok(listener)
}

fn bind_error(address: SocketAddr, error: &std::io::Error) -> String {
    format!("can't listen on {address}: {error}; free the address or change it in the settings")
}
