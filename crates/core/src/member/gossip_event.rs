use crate::config::ConfigDelta;

use super::CrashRecord;
use super::GossipMessage;
use super::HostListing;
use super::MemberRecord;

/// An input of [`GossipMachine`](super::GossipMachine).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipEvent {
    /// The periodic timer, which fires each second.
    Tick,
    /// A reply to a sent message arrived.
    Reply {
        /// The address to which the message was sent.
        address: String,
        /// The message that the receiver returned.
        message: Box<GossipMessage>,
    },
    /// A probed member answered.
    ProbeAnswered {
        /// The name of the answering process, as stated in the answer.
        name: String,
    },
    /// A probed member did not answer before the timeout.
    ProbeMissed {
        /// The name of the probed member.
        name: String,
    },
    /// The platform's host list was read.
    HostsListed(Vec<HostListing>),
    /// New configuration, read from the table service or committed with a ticket.
    ConfigRead(ConfigDelta),
    /// The local record changed: the state of this process, or the model that its engine holds.
    LocalRecordChanged(Box<MemberRecord>),
    /// A crash count was written to the table service.
    CrashCounted(CrashRecord),
}
