use dandelionroad_core::relay::CapacityQueue;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::SharedLoad;

use super::waiting_request::WaitingRequest;

/// A simulated entry.
#[derive(Debug)]
pub(super) struct ChainEntry {
    pub(super) zone: String,
    pub(super) table: EngineTable,
    pub(super) queue: CapacityQueue,
    pub(super) waiting: Vec<WaitingRequest>,
    /// What it told its zone last.
    pub(super) near_report: Vec<SharedLoad>,
    /// What it told the other zones last.
    pub(super) far_report: Vec<SharedLoad>,
    pub(super) rounds: u64,
}

impl ChainEntry {
    /// Takes the report of its own loads for this round.
    pub(super) fn tell(&mut self) {
        self.near_report = self.table.own_loads();
        if self.rounds.is_multiple_of(4) {
            self.far_report = self.near_report.clone();
        }
        self.rounds += 1;
    }
}
