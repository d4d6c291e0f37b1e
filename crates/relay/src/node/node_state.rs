use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dandelionroad_core::relay::RoomQueue;
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
    pub run: u64,
    /// What the process believes.
    pub view: RefCell<RelayView>,
    /// The other processes.
    pub peers: RefCell<PeerTable>,
    /// The connections to engines.
    pub engines: EngineClient,
    /// The counters.
    pub metrics: RelayMetrics,
    /// The number of requests that are being followed.
    pub running: Cell<u32>,
    /// The model requests that wait for room.
    pub waiting: RefCell<RoomQueue>,
    /// When the last connections are cut; far away unless the process is stopping.
    pub ends_at: Cell<MilliTime>,
    /// Wakes the task that confirms to the others what they hold.
    pub confirm: Notify,
    /// Wakes the task that reads the configuration.
    pub config_changed: Notify,
    /// Wakes the task that reads the list of engines.
    pub listing_changed: Notify,
    /// Whether another process is known to hold a newer list of engines.
    pub is_listing_behind: Cell<bool>,
    /// Wakes the task that tells the others of requests that crashed engines.
    pub crashed: Notify,
    /// The fingerprints of requests that were suspected of crashes and then served, to be told.
    pub cleared: RefCell<Vec<String>>,
    /// Told when an engine is found dead.
    pub engine_lost: Notify,
    /// The newest version of the configuration that another process told of.
    pub newest_config: Cell<u64>,
    /// The digest of the list of engines that another process told of last.
    pub newest_listing: Cell<u64>,
    /// The rows that were read last, for other processes.
    pub copies: RefCell<RowSnapshot>,
    /// Wakes the waiting requests when room may have become free.
    pub room: Notify,
}

impl NodeState {
    /// Creates the state of a process.
    pub fn new(settings: RelaySettings, format: Box<dyn WireFormat>) -> Rc<NodeState> {
        let view = RefCell::new(RelayView::new(&settings));
        Rc::new(NodeState {
            run: new_run(&settings.name),
            bounds: Cell::new(settings.bounds),
            settings,
            format,
            clock: BootClock,
            view,
            peers: RefCell::new(PeerTable::new()),
            engines: EngineClient::new(),
            metrics: RelayMetrics::new(),
            running: Cell::new(0),
            waiting: RefCell::new(RoomQueue::new()),
            ends_at: Cell::new(MilliTime::MAX),
            confirm: Notify::new(),
            config_changed: Notify::new(),
            listing_changed: Notify::new(),
            is_listing_behind: Cell::new(false),
            crashed: Notify::new(),
            cleared: RefCell::default(),
            engine_lost: Notify::new(),
            newest_config: Cell::new(0),
            newest_listing: Cell::new(0),
            copies: RefCell::new(RowSnapshot::default()),
            room: Notify::new(),
        })
    }

    /// Takes a repeated send from the budget, which is counted by its cause; returns false if none is
    /// left.
    pub fn take_retry(&self, cause: &str) -> bool {
        let is_allowed = self.view.borrow_mut().retries.try_retry();
        let cause = if is_allowed { cause } else { "budget" };
        self.metrics.count_retry(cause);
        is_allowed
    }
}

/// Returns a number that no earlier run of the process had: the time of day alone may be set back.
fn new_run(name: &str) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |time| time.as_nanos() as u64);
    let boot_ms = BootClock.now().as_millis();
    hash_text(nanos ^ boot_ms.rotate_left(32), name)
}
