use super::GossipMessage;

/// What a process is to do for its view of configuration and members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipAction {
    /// Send a message; its reply comes back as an event, its loss needs no event.
    Send {
        /// The address of the receiver.
        address: String,
        /// The message.
        message: Box<GossipMessage>,
    },
    /// Probe a member within a second.
    Probe {
        /// The name of the member.
        name: String,
        /// The address of the member.
        address: String,
    },
    /// Publish the configuration of the machine.
    ConfigChanged,
    /// Publish the member table of the machine.
    MembersChanged,
    /// Publish the crash counts of the machine.
    CrashesChanged,
    /// Publish the own record of the machine.
    LocalRecordChanged,
}
