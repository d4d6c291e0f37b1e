use dandelionroad_core::member::GossipEvent;
use dandelionroad_core::member::GossipMessage;
use tokio::sync::oneshot;

/// An event that the control task handles.
#[derive(Debug)]
pub(super) enum ControlEvent {
    /// An event of the gossip machine, without a reply.
    Gossip(GossipEvent),
    /// A gossip message of another process, which waits for a reply.
    Request {
        message: Box<GossipMessage>,
        reply: oneshot::Sender<GossipMessage>,
    },
}
