use dandelionroad_core::member::GossipEvent;
use dandelionroad_core::member::GossipMessage;
use tokio::sync::oneshot;

/// What the control task takes in.
#[derive(Debug)]
pub(super) enum ControlEvent {
    /// An event without an answer.
    Gossip(GossipEvent),
    /// A request of another process.
    Request {
        /// The request.
        message: Box<GossipMessage>,
        /// Where the reply goes.
        reply: oneshot::Sender<GossipMessage>,
    },
}
