use std::sync::Arc;

use dandelionroad_core::config::ConfigState;
use dandelionroad_core::member::CrashTable;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::member::MemberTable;
use dandelionroad_settings::NodeSettings;
use tokio::sync::watch;

use crate::control::ControlHandle;
use crate::entry::crash::CrashTracker;
use crate::entry::routing::CallLoads;
use crate::entry::routing::EntryLimits;
use crate::entry::routing::RoutingState;

use super::NodeClients;
use super::NodeClock;
use super::PeerPool;
use super::RequestCounter;

/// The state that the tasks of one process share.
///
/// Only the [control task](crate::control) writes `config`, `members` and `crashes`; other tasks
/// read the latest value or wait for a change.
pub struct NodeContext {
    /// The settings of the process, fixed at its start.
    pub settings: NodeSettings,
    /// The time source of all tasks.
    pub clock: NodeClock,
    /// The clients of the outside systems.
    pub clients: NodeClients,
    /// The pooled connections to other processes.
    pub peers: PeerPool,
    /// Counts the requests in progress; a shutdown waits until there are none.
    pub requests: RequestCounter,
    /// The member record of this process; its address is the bound internal address.
    pub local_record: watch::Sender<MemberRecord>,
    /// The configuration in force at this process.
    pub config: watch::Sender<Arc<ConfigState>>,
    /// The members known to this process.
    pub members: watch::Sender<Arc<MemberTable>>,
    /// The crash counts known to this process.
    pub crashes: watch::Sender<Arc<CrashTable>>,
    /// The routing tables of an entry; unused at an endpoint.
    pub routing: RoutingState,
    /// The account limits and the retry budget of an entry; unused at an endpoint.
    pub limits: EntryLimits,
    /// The loads of plain services as an entry tracks them; unused at an endpoint.
    pub call_loads: CallLoads,
    /// The crash counts of requests at an entry; unused at an endpoint.
    pub crash_tracker: CrashTracker,
    /// Sends events to the control task.
    pub control: ControlHandle,
}

impl NodeContext {
    /// Advances the state of the local member record.
    ///
    /// States only move forward: an earlier state than the current one is ignored.
    pub fn advance_state(&self, state: MemberState) {
        self.local_record.send_if_modified(|local| {
            let is_later = local.state < state;
            if is_later {
                local.state = state;
            }
            is_later
        });
    }

    /// Merges the gossip machine's copy of the local record into the local record.
    ///
    /// Incarnation, sequence number and state only increase. The state and the held model may have
    /// changed since the gossip machine last read the record, so that its older values must not
    /// replace them.
    pub fn merge_local_record(&self, record: &MemberRecord) {
        self.local_record.send_modify(|local| {
            local.incarnation = local.incarnation.max(record.incarnation);
            local.sequence = local.sequence.max(record.sequence);
            local.state = local.state.max(record.state);
        });
    }
}
