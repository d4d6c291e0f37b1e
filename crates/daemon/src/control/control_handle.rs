use std::sync::Mutex;

use dandelionroad_core::config::ConfigDelta;
use dandelionroad_core::member::CrashRecord;
use dandelionroad_core::member::GossipEvent;
use dandelionroad_core::member::GossipMessage;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::control_event::ControlEvent;

/// The capacity of the control task's queue; senders wait while it is full.
const MAX_WAITING_EVENTS: usize = 1_024;

/// Sends events to the control task and aborts the tasks of the control plane.
pub struct ControlHandle {
    events: mpsc::Sender<ControlEvent>,
    /// Taken by the control task when it starts.
    receiver: Mutex<Option<mpsc::Receiver<ControlEvent>>>,
    /// The control, polling and gossip tasks.
    tasks: Mutex<Vec<AbortHandle>>,
}

impl ControlHandle {
    /// Creates the handle; events sent before the control task starts are queued.
    pub fn new() -> ControlHandle {
        let (events, receiver) = mpsc::channel(MAX_WAITING_EVENTS);
        ControlHandle {
            events,
            receiver: Mutex::new(Some(receiver)),
            tasks: Mutex::default(),
        }
    }

    /// Gossips a crash count that was committed to the table service.
    pub async fn publish_crash(&self, record: CrashRecord) {
        self.send(GossipEvent::CrashCounted(record)).await;
    }

    /// Gossips a configuration change that was committed to, or read from, the table service.
    pub async fn publish_config(&self, delta: ConfigDelta) {
        self.send(GossipEvent::ConfigRead(delta)).await;
    }

    /// Sends an event; has no effect after the end of the control task.
    pub(super) async fn send(&self, event: GossipEvent) {
        // Fails only while the process stops, when the event is no longer needed.
        let _ = self.events.send(ControlEvent::Gossip(event)).await;
    }

    /// Passes a peer's message to the control task and returns its reply.
    ///
    /// Returns `None` while the process stops.
    pub(super) async fn handle_request(&self, message: GossipMessage) -> Option<GossipMessage> {
        let (reply, answer) = oneshot::channel();
        let message = Box::new(message);
        let event = ControlEvent::Request { message, reply };
        self.events.send(event).await.ok()?;
        answer.await.ok()
    }

    /// Aborts gossip, probes and polling at once, as a crash of the process would.
    pub fn abort(&self) {
        let tasks = self.tasks.lock();
        let tasks = tasks.unwrap_or_else(|poison| poison.into_inner());
        tasks.iter().for_each(AbortHandle::abort);
    }

    /// Spawns a task that [`ControlHandle::abort`] aborts.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let handle = tokio::spawn(task).abort_handle();
        let tasks = self.tasks.lock();
        let mut tasks = tasks.unwrap_or_else(|poison| poison.into_inner());
        tasks.push(handle);
    }

    /// Returns the receiving end of the queue on the first call, `None` afterwards.
    pub(super) fn take_receiver(&self) -> Option<mpsc::Receiver<ControlEvent>> {
        let mut receiver = self
            .receiver
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        receiver.take()
    }
}

impl Default for ControlHandle {
    fn default() -> ControlHandle {
        ControlHandle::new()
    }
}
