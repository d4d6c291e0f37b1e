use dandelionroad_core::relay::CapacityQueue;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::SharedLoad;

use super::waiting_request::WaitingRequest;

/// A simulated entry: its view of the engines' load and its queued requests.
#[derive(Debug)]
pub(super) struct ChainEntry {
    pub(super) zone: String,
    pub(super) table: EngineTable,
    pub(super) queue: CapacityQueue,
    /// The queued requests, in order of arrival.
    pub(super) waiting: Vec<WaitingRequest>,
    /// The loads in its last report to the entries of its availability zone.
    pub(super) zone_report: Vec<SharedLoad>,
    /// The loads in its last report to the entries of other availability zones.
    pub(super) remote_report: Vec<SharedLoad>,
    /// The number of reports so far.
    pub(super) report_rounds: u64,
}

impl ChainEntry {
    /// Updates the loads that this entry reports to the other entries.
    ///
    /// The report to other availability zones is updated by every fourth call, like the load messages of
    /// the relay.
    pub(super) fn refresh_reports(&mut self) {
        self.zone_report = self.table.own_loads();
        if self.report_rounds.is_multiple_of(4) {
            self.remote_report = self.zone_report.clone();
        }
        self.report_rounds += 1;
    }
}
