use super::GossipMessage;

/// An action that [`GossipMachine`](super::GossipMachine) asks its process to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipAction {
    /// Send a message. A reply is reported as [`GossipEvent::Reply`](super::GossipEvent::Reply);
    /// a lost message is not reported.
    Send {
        /// The address of the receiver.
        address: String,
        /// The request to send, which the receiver answers with a message.
        message: Box<GossipMessage>,
    },
    /// Probe a member and report the result within a second.
    Probe {
        /// The name of the member.
        name: String,
        /// The address of the member.
        address: String,
    },
    /// Publish the new configuration to the rest of the process.
    ConfigChanged,
    /// Publish the new member table to the rest of the process.
    MembersChanged,
    /// Publish the new crash counts to the rest of the process.
    CrashesChanged,
    /// Publish the new record of this process to the rest of the process.
    LocalRecordChanged,
}
