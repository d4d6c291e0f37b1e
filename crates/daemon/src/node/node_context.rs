use std::sync::Arc;

use dandelionroad_core::config::ConfigState;
use dandelionroad_core::member::CrashTable;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::member::MemberTable;
use dandelionroad_settings::NodeSettings;
use tokio::sync::watch;

use crate::control::ControlHandle;
use crate::entry::crash::CrashWatch;
use crate::entry::routing::CallLoads;
use crate::entry::routing::EntryLimits;
use crate::entry::routing::RoutingState;

use super::NodeClients;
use super::NodeClock;
use super::PeerPool;
use super::RequestCounter;

/// What the parts of one process share.
///
/// Only the control part writes `config`, `members` and `crashes`; the other parts read the newest value or
/// wait for a change.
pub struct NodeContext {
    /// The settings.
    pub settings: NodeSettings,
    /// The clock.
    pub clock: NodeClock,
    /// The clients of the outside systems.
    pub clients: NodeClients,
    /// The connections to other processes.
    pub peers: PeerPool,
    /// The requests that run here; a process that stops waits for the last one.
    pub requests: RequestCounter,
    /// The own member record; its address is the bound internal address.
    pub local_record: watch::Sender<MemberRecord>,
    /// The configuration in force here.
    pub config: watch::Sender<Arc<ConfigState>>,
    /// The members known here.
    pub members: watch::Sender<Arc<MemberTable>>,
    /// The crash counts known here.
    pub crashes: watch::Sender<Arc<CrashTable>>,
    /// The routing of an entry; unused beside an endpoint.
    pub routing: RoutingState,
    /// The account limits and the retry budget of an entry; unused beside an endpoint.
    pub limits: EntryLimits,
    /// The loads of plain services at an entry; unused beside an endpoint.
    pub call_loads: CallLoads,
    /// The crashes of requests at an entry; unused beside an endpoint.
    pub crash_watch: CrashWatch,
    /// The way to the control part.
    pub control: ControlHandle,
}

impl NodeContext {
    /// Moves the own member record to a later state; an earlier state changes nothing.
    pub fn advance_state(&self, state: MemberState) {
        self.local_record.send_if_modified(|own| {
            let is_later = own.state < state;
            if is_later {
                own.state = state;
            }
            is_later
        });
    }

    /// Takes the incarnation and the sequence number of the own record from the gossip.
    ///
    /// The state and the held model may have changed here since the gossip machine last saw them,
    /// so that its older values must not replace them.
    pub fn merge_local_record(&self, record: &MemberRecord) {
        self.local_record.send_modify(|own| {
            own.incarnation = own.incarnation.max(record.incarnation);
            own.sequence = own.sequence.max(record.sequence);
            own.state = own.state.max(record.state);
        });
    }
}
