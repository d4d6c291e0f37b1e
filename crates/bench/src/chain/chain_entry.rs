use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::RoomQueue;
use dandelionroad_core::relay::SharedLoad;

use super::waiting_request::WaitingRequest;

/// A simulated entry.
#[derive(Debug)]
pub(super) struct ChainEntry {
    pub(super) zone: String,
    pub(super) table: EngineTable,
    pub(super) queue: RoomQueue,
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
        let busy = self.table.entries().iter();
        let busy = busy.filter(|entry| entry.own_requests > 0);
        let load = |entry: &dandelionroad_core::relay::EngineEntry| SharedLoad {
            tag: entry.tag,
            requests: entry.own_requests,
            units: entry.own_units,
            reading: entry.own_reading,
        };
        self.near_report = busy.map(load).collect();
        if self.rounds.is_multiple_of(4) {
            self.far_report = self.near_report.clone();
        }
        self.rounds += 1;
    }
}
