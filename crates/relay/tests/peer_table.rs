//! Guards against timestamps and confirmations that are applied to another run of a process than the
//! one that they were made for, and against needless traffic between availability zones.

use std::net::SocketAddr;

use dandelionroad_core::time::MilliTime;
use dandelionroad_relay::peer::LoadMessage;
use dandelionroad_relay::peer::PeerDatagram;
use dandelionroad_relay::peer::PeerLoad;
use dandelionroad_relay::peer::PeerTable;

fn load_message(run: u64, stamp: u64) -> LoadMessage {
    LoadMessage {
        internal: "127.0.0.1:9001".parse().unwrap(),
        zone: "b".to_owned(),
        run,
        stamp,
        reaches_store: true,
        loads: Vec::new(),
    }
}

/// After a restart of a host, timestamps of the new run are lower than those of the earlier one. If they
/// were kept across the restart, they would lie in the future of the new run and make state look fresh.
#[test]
fn confirmations_of_earlier_run_are_dropped() {
    let address: SocketAddr = "127.0.0.1:9000".parse().unwrap();
    let time = MilliTime::from_millis;
    let mut table = PeerTable::new();
    table.record_message(address, load_message(1, 900_000), time(1_000));
    let timestamps = table.newest_timestamps();
    table.record_config_read(&timestamps);
    table.record_listing_read(&timestamps);
    assert_eq!(table.confirmations(), [(address, 1, 900_000, 900_000)]);
    // The host restarts: its clock starts from zero, and the process has a new run.
    let before = table.newest_timestamps();
    assert!(table.record_message(address, load_message(2, 40), time(1_100)));
    assert_eq!(table.confirmations(), [(address, 2, 0, 0)]);
    // A read that started before the restart confirms nothing to the new run.
    table.record_config_read(&before);
    assert_eq!(table.confirmations(), [(address, 2, 0, 0)]);
}

/// Datagrams may arrive out of order: an older one must not replace newer loads.
#[test]
fn record_message_drops_older() {
    let address: SocketAddr = "127.0.0.1:9000".parse().unwrap();
    let time = MilliTime::from_millis;
    let mut table = PeerTable::new();
    assert!(table.record_message(address, load_message(1, 500), time(1_000)));
    assert!(!table.record_message(address, load_message(1, 400), time(1_010)));
    assert_eq!(table.newest_timestamps(), [(address, 1, 500)]);
    // A process counts as live for 2.5 s after its last message.
    assert_eq!(table.live_count(time(3_400)), 1);
    assert_eq!(table.live_count(time(3_600)), 0);
}

/// If every process sent every load message to all zones, the traffic between zones would grow with the
/// square of the number of processes.
#[test]
fn near_addresses_zone_and_store_reader() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let now = MilliTime::from_millis(1_000);
    let mut table = PeerTable::new();
    for (port, zone) in [(1, "b"), (2, "b"), (3, "a"), (4, "c")] {
        let mut message = load_message(1, 5);
        message.zone = zone.to_owned();
        table.record_message(address(port), message, now);
    }
    table.add_listed(address(5), now);
    let near = table.near_addresses("a", now);
    // The first is the store reader, the third is in the same zone, and the zone of the fifth is unknown.
    assert_eq!(near, [address(1), address(3), address(5)]);
    assert_eq!(table.addresses().len(), 5);
}

/// Traffic between availability zones is billed: larger load messages cost more than the better choice of
/// chains saves.
#[test]
fn load_datagram_is_small() {
    let load = |number: u64| PeerLoad {
        engine: (number * 80_000_003) as u32,
        requests: 20,
        units: 400_000,
        reading: 1_000,
    };
    let mut message = load_message(u64::MAX, 86_400_000);
    message.loads = (0..52).map(load).collect();
    let datagram = PeerDatagram::Load(message);
    let bytes = datagram.encode().unwrap();
    assert!(bytes.len() <= 52 * 12 + 60, "{} bytes", bytes.len());
    assert_eq!(PeerDatagram::decode(&bytes).unwrap(), datagram);
}
