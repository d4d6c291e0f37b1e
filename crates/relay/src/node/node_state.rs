use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dandelionroad_core::relay::CapacityQueue;
use dandelionroad_core::route::hash_text;
use dandelionroad_core::time::MilliTime;
use tokio::sync::Notify;

use crate::engine::EngineClient;
use crate::peer::PeerTable;
use crate::peer::RowSnapshot;
use crate::telemetry::RelayMetrics;
use crate::wire::WireFormat;

use super::BootClock;
use super::RelayBounds;
use super::RelaySettings;
use super::RelayView;

/// What the tasks of a process share; they all run on one thread.
pub struct NodeState {
    /// The settings.
    pub settings: RelaySettings,
    /// The bounds in force, which may have changed since the start.
    pub bounds: Cell<RelayBounds>,
    /// The protocols of the deployment.
    pub format: Box<dyn WireFormat>,
    /// The clock.
    pub clock: BootClock,
    /// Tells this run of the process from earlier ones of the same name.
    pub run_id: u64,
    /// What the process believes.
    pub view: RefCell<RelayView>,
    /// The other processes.
    pub peers: RefCell<PeerTable>,
    /// The connections to engines.
    pub engine_client: EngineClient,
    /// The counters.
    pub metrics: RelayMetrics,
    /// The number of requests that are being followed.
    pub running_requests: Cell<u32>,
    /// The model requests that wait for room.
    pub waiting: RefCell<CapacityQueue>,
    /// When the last connections are cut; far away unless the process is stopping.
    pub stop_deadline: Cell<MilliTime>,
    /// Wakes the task that confirms to the others what they hold.
    pub confirm_due: Notify,
    /// Wakes the task that reads the configuration.
    pub config_changed: Notify,
    /// Wakes the task that reads the list of engines.
    pub listing_changed: Notify,
    /// Whether another process is known to hold a newer list of engines.
    pub is_listing_stale: Cell<bool>,
    /// Wakes the task that tells the others of requests that crashed engines.
    pub crashes_changed: Notify,
    /// The fingerprints of requests that were suspected of crashes and then served, to be told.
    pub cleared_fingerprints: RefCell<Vec<String>>,
    /// Told when an engine is found dead.
    pub engine_lost: Notify,
    /// The newest version of the configuration that another process told of.
    pub newest_config_version: Cell<u64>,
    /// The digest of the list of engines that another process told of last.
    pub newest_listing_digest: Cell<u64>,
    /// The rows that were read last, for other processes.
    pub row_snapshot: RefCell<RowSnapshot>,
    /// Wakes the waiting requests when room may have become free.
    pub room_freed: Notify,
}

impl NodeState {
    /// Creates the state of a process.
    pub fn new(settings: RelaySettings, format: Box<dyn WireFormat>) -> Rc<NodeState> {
        let view = RefCell::new(RelayView::new(&settings));
        Rc::new(NodeState {
            run_id: new_run_id(&settings.name),
            bounds: Cell::new(settings.bounds),
            settings,
            format,
            clock: BootClock,
            view,
            peers: RefCell::new(PeerTable::new()),
            engine_client: EngineClient::new(),
            metrics: RelayMetrics::new(),
            running_requests: Cell::new(0),
            waiting: RefCell::new(CapacityQueue::new()),
            stop_deadline: Cell::new(MilliTime::MAX),
            confirm_due: Notify::new(),
            config_changed: Notify::new(),
            listing_changed: Notify::new(),
            is_listing_stale: Cell::new(false),
            crashes_changed: Notify::new(),
            cleared_fingerprints: RefCell::default(),
            engine_lost: Notify::new(),
            newest_config_version: Cell::new(0),
            newest_listing_digest: Cell::new(0),
            row_snapshot: RefCell::new(RowSnapshot::default()),
            room_freed: Notify::new(),
        })
    }

    /// Takes a repeated send from the budget, which is counted by its cause; returns false if none is
    /// left.
    pub fn take_retry(&self, cause: &str) -> bool {
        let is_allowed = self.view.borrow_mut().retry_budget.try_retry();
        let cause = if is_allowed { cause } else { "budget" };
        self.metrics.count_retry(cause);
        is_allowed
    }
}

/// Returns a number that no earlier run of the process had: the time of day alone may be set back.
fn new_run_id(name: &str) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |time| time.as_nanos() as u64);
    let boot_ms = BootClock.now().as_millis();
    hash_text(nanos ^ boot_ms.rotate_left(32), name)
}
