use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use dandelionroad_core::relay::RoomQueue;
use dandelionroad_core::time::MilliTime;
use tokio::sync::Notify;

use crate::engine::EngineClient;
use crate::peer::PeerTable;
use crate::telemetry::RelayMetrics;
use crate::wire::WireFormat;

use super::BootClock;
use super::RelaySettings;
use super::RelayView;

/// What the tasks of a process share; they all run on one thread.
pub struct NodeState {
    /// The settings.
    pub settings: RelaySettings,
    /// The protocols of the deployment.
    pub format: Box<dyn WireFormat>,
    /// The clock.
    pub clock: BootClock,
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
    /// Until when requests are admitted; far away unless the process is stopping.
    pub admits_until: Cell<MilliTime>,
    /// Wakes the task that confirms to the others what they hold.
    pub confirm: Notify,
    /// Wakes the task that reads the configuration.
    pub config_changed: Notify,
    /// Wakes the task that reads the list of engines.
    pub listing_changed: Notify,
    /// Wakes the waiting requests when room may have become free.
    pub room: Notify,
}

impl NodeState {
    /// Creates the state of a process.
    pub fn new(settings: RelaySettings, format: Box<dyn WireFormat>) -> Rc<NodeState> {
        let view = RefCell::new(RelayView::new(&settings));
        Rc::new(NodeState {
            settings,
            format,
            clock: BootClock,
            view,
            peers: RefCell::new(PeerTable::new()),
            engines: EngineClient::new(),
            metrics: RelayMetrics::new(),
            running: Cell::new(0),
            waiting: RefCell::new(RoomQueue::new()),
            admits_until: Cell::new(MilliTime::MAX),
            confirm: Notify::new(),
            config_changed: Notify::new(),
            listing_changed: Notify::new(),
            room: Notify::new(),
        })
    }
}
