use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dandelionroad_core::relay::CapacityQueue;
use dandelionroad_core::relay::PartTrials;
use dandelionroad_core::relay::ShutdownPlan;
use dandelionroad_core::relay::StoreVersion;
use dandelionroad_core::route::hash_text;
use tokio::sync::Notify;

use crate::engine::EngineClient;
use crate::memory::ByteBudget;
use crate::peer::PeerTable;
use crate::telemetry::RelayMetrics;
use crate::wire::StoreRow;
use crate::wire::WireFormat;

use super::BootClock;
use super::RelayBounds;
use super::RelaySettings;
use super::RelayView;

/// The state that the tasks of a process share on one thread.
pub struct NodeState {
    /// The settings at the start, with the bound addresses.
    pub settings: RelaySettings,
    /// The reloadable limits and intervals in force.
    pub bounds: Cell<RelayBounds>,
    /// The encoding of the deployment's protocols.
    pub format: Box<dyn WireFormat>,
    /// The monotonic clock.
    pub clock: BootClock,
    /// The identifier of this run of the process.
    pub run_id: u64,
    /// The local view of the deployment.
    pub view: RefCell<RelayView>,
    /// The other relay processes.
    pub peers: RefCell<PeerTable>,
    /// The HTTP client of engines, endpoints and other relay processes.
    pub engine_client: EngineClient,
    /// The budget of the bytes held for others.
    pub memory: ByteBudget,
    /// The metrics of the process.
    pub metrics: RelayMetrics,
    /// The number of requests in progress.
    pub running_requests: Cell<u32>,
    /// The model requests that wait for engine capacity.
    pub queue: RefCell<CapacityQueue>,
    /// The plan by which the process stops; `None` unless it is stopping.
    pub shutdown: Cell<Option<ShutdownPlan>>,
    /// Wakes the task that sends confirmations to the other processes.
    pub confirm_due: Notify,
    /// Wakes the task that reads the configuration, when another process reports a newer one.
    pub config_changed: Notify,
    /// Wakes the task that reads the list of engines, when another process reports a different one.
    pub listing_changed: Notify,
    /// The store's version of the newest list of engines that another process has reported.
    pub newest_listing_version: Cell<StoreVersion>,
    /// Wakes the task that lists this process in the store, when the store has come back from an older copy.
    pub era_changed: Notify,
    /// Wakes the task that sends this process's state to the others.
    pub announcement_due: Notify,
    /// Wakes the task that sends engine crashes to the other processes.
    pub crashes_changed: Notify,
    /// The fingerprints of requests that were suspected of crashes and then served, to be sent to the
    /// other processes.
    pub cleared_fingerprints: RefCell<Vec<String>>,
    /// Wakes the requests in progress when a prompt part is refused.
    pub parts_refused: Notify,
    /// The requests that are about to show whether their prompt parts crash engines.
    pub part_trials: RefCell<PartTrials>,
    /// Wakes the requests that wait for the end of such a trial.
    pub trial_ended: Notify,
    /// Wakes the stalled requests when an engine is found dead.
    pub engine_lost: Notify,
    /// The version of the newest configuration that another process has reported.
    pub newest_config_version: Cell<u64>,
    /// The rows of the configuration that was adopted last, for other processes.
    pub config_rows: RefCell<Vec<StoreRow>>,
    /// Wakes the waiting requests when engine capacity may have become free.
    pub capacity_freed: Notify,
}

impl NodeState {
    /// Creates the state of a process.
    pub fn new(settings: RelaySettings, format: Box<dyn WireFormat>) -> Rc<NodeState> {
        let view = RefCell::new(RelayView::new(&settings));
        let peers = PeerTable::new(settings.peer_address, &settings.zone, settings.capacity);
        let metrics = RelayMetrics::new();
        let memory = ByteBudget::new(settings.bounds.held_limit(), metrics.ended_buffers());
        Rc::new(NodeState {
            run_id: new_run_id(&settings.name),
            bounds: Cell::new(settings.bounds),
            settings,
            format,
            clock: BootClock,
            view,
            peers: RefCell::new(peers),
            engine_client: EngineClient::new(memory.clone()),
            memory,
            metrics,
            running_requests: Cell::new(0),
            queue: RefCell::new(CapacityQueue::new()),
            shutdown: Cell::new(None),
            confirm_due: Notify::new(),
            config_changed: Notify::new(),
            listing_changed: Notify::new(),
            newest_listing_version: Cell::default(),
            era_changed: Notify::new(),
            announcement_due: Notify::new(),
            crashes_changed: Notify::new(),
            cleared_fingerprints: RefCell::default(),
            parts_refused: Notify::new(),
            part_trials: RefCell::default(),
            trial_ended: Notify::new(),
            engine_lost: Notify::new(),
            newest_config_version: Cell::new(0),
            config_rows: RefCell::default(),
            capacity_freed: Notify::new(),
        })
    }

    /// Spends a retry of the budget and counts it by `cause`; returns false if the budget is used up.
    pub fn take_retry(&self, cause: &str) -> bool {
        let is_allowed = self.view.borrow_mut().retry_budget.take_retry();
        let cause = if is_allowed { cause } else { "budget" };
        self.metrics.count_retry(cause);
        is_allowed
    }
}

/// Returns an identifier that no earlier run of the process had.
///
/// It combines the time of day with the time since boot, as the former may be set back.
fn new_run_id(name: &str) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |time| time.as_nanos() as u64);
    let boot_ms = BootClock.now().as_millis();
    hash_text(nanos ^ boot_ms.rotate_left(32), name)
}
