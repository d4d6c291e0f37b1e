use std::sync::Mutex;

use dandelionroad_core::config::ConfigDelta;
use dandelionroad_core::member::CrashRecord;
use dandelionroad_core::member::GossipEvent;
use dandelionroad_core::member::GossipMessage;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::control_event::ControlEvent;

/// The greatest number of events that wait for the control task; senders wait beyond it.
const MAX_WAITING_EVENTS: usize = 1_024;

/// The way of the other parts to the control task.
pub struct ControlHandle {
    events: mpsc::Sender<ControlEvent>,
    /// Taken by the control task when it starts.
    receiver: Mutex<Option<mpsc::Receiver<ControlEvent>>>,
    /// The tasks of the control part.
    tasks: Mutex<Vec<AbortHandle>>,
}

impl ControlHandle {
    /// Creates the handle; what is sent before the control task starts waits for it.
    pub fn new() -> ControlHandle {
        let (events, receiver) = mpsc::channel(MAX_WAITING_EVENTS);
        ControlHandle {
            events,
            receiver: Mutex::new(Some(receiver)),
            tasks: Mutex::default(),
        }
    }

    /// Spreads a crash count that was written to the table service.
    pub async fn publish_crash(&self, record: CrashRecord) {
        self.send(GossipEvent::CrashCounted(record)).await;
    }

    /// Spreads a configuration change that was committed to, or read from, the table service.
    pub async fn publish_config(&self, delta: ConfigDelta) {
        self.send(GossipEvent::ConfigRead(delta)).await;
    }

    /// Sends an event; after the end of the control task it has no effect.
    pub(super) async fn send(&self, event: GossipEvent) {
        // Fails only when the process stops, when there is nothing left to do with the event.
        let _ = self.events.send(ControlEvent::Gossip(event)).await;
    }

    /// Returns the reply to a request, or `None` when the process stops.
    pub(super) async fn answer(&self, message: GossipMessage) -> Option<GossipMessage> {
        let (reply, answer) = oneshot::channel();
        let message = Box::new(message);
        let event = ControlEvent::Request { message, reply };
        self.events.send(event).await.ok()?;
        answer.await.ok()
    }

    /// Stops gossip, probes and polls at once, as the loss of the process would.
    pub fn abort(&self) {
        let tasks = self.tasks.lock();
        let tasks = tasks.unwrap_or_else(|poison| poison.into_inner());
        tasks.iter().for_each(AbortHandle::abort);
    }

    /// Starts a task that [`ControlHandle::abort`] stops.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let handle = tokio::spawn(task).abort_handle();
        let tasks = self.tasks.lock();
        let mut tasks = tasks.unwrap_or_else(|poison| poison.into_inner());
        tasks.push(handle);
    }

    /// Takes the receiving end; the second call returns `None`.
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
