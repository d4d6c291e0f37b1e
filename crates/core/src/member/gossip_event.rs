use crate::config::ConfigDelta;

use super::CrashRecord;
use super::GossipMessage;
use super::HostListing;
use super::MemberRecord;

/// What happened to a process' view of configuration and members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipEvent {
    /// A second has passed.
    Tick,
    /// A reply to a sent message arrived.
    Reply {
        /// The address to which the message was sent.
        address: String,
        /// The reply.
        message: Box<GossipMessage>,
    },
    /// A probed member answered.
    ProbeAnswered {
        /// The name that the answer carries.
        name: String,
    },
    /// A probed member did not answer in time.
    ProbeMissed {
        /// The name of the probed member.
        name: String,
    },
    /// The host list was read.
    HostsListed(Vec<HostListing>),
    /// Newer configuration was read from the table service, or a ticket was committed.
    ConfigRead(ConfigDelta),
    /// The process changed its own record: its state, or what its engine holds.
    LocalRecordChanged(Box<MemberRecord>),
    /// A crash count was written to the table service.
    CrashCounted(CrashRecord),
}
