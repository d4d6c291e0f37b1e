//! Guards against confirmations that outlive the process for which they were meant.

use std::net::SocketAddr;

use dandelionroad_core::time::MilliTime;
use dandelionroad_relay::peer::LoadMessage;
use dandelionroad_relay::peer::PeerDatagram;
use dandelionroad_relay::peer::PeerLoad;
use dandelionroad_relay::peer::PeerTable;

fn message(run: u64, stamp: u64) -> LoadMessage {
    LoadMessage {
        internal: "127.0.0.1:9001".parse().unwrap(),
        zone: "b".to_owned(),
        run,
        stamp,
        reaches_store: true,
        loads: Vec::new(),
    }
}

#[test]
fn confirmations_of_earlier_run_are_dropped() {
    let address: SocketAddr = "127.0.0.1:9000".parse().unwrap();
    let time = MilliTime::from_millis;
    let mut table = PeerTable::new();
    table.record_message(address, message(1, 900_000), time(1_000));
    let stamps = table.stamps();
    table.record_config_read(&stamps);
    table.record_listing_read(&stamps);
    assert_eq!(table.confirmations(), [(address, 1, 900_000, 900_000)]);
    // The host starts again; its clock and its process are new.
    let before = table.stamps();
    assert!(table.record_message(address, message(2, 40), time(1_100)));
    assert_eq!(table.confirmations(), [(address, 2, 0, 0)]);
    // A read that was begun before does not confirm anything to the new one.
    table.record_config_read(&before);
    assert_eq!(table.confirmations(), [(address, 2, 0, 0)]);
}

#[test]
fn heard_older_message_is_dropped() {
    let address: SocketAddr = "127.0.0.1:9000".parse().unwrap();
    let time = MilliTime::from_millis;
    let mut table = PeerTable::new();
    assert!(table.record_message(address, message(1, 500), time(1_000)));
    assert!(!table.record_message(address, message(1, 400), time(1_010)));
    assert_eq!(table.stamps(), [(address, 1, 500)]);
    // Silent processes no longer count.
    assert_eq!(table.live_count(time(3_400)), 1);
    assert_eq!(table.live_count(time(3_600)), 0);
}

/// Guards against datagrams that all processes of all zones send each other several times a second.
#[test]
fn near_addresses_zone_and_reader() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let now = MilliTime::from_millis(1_000);
    let mut table = PeerTable::new();
    for (port, zone) in [(1, "b"), (2, "b"), (3, "a"), (4, "c")] {
        let mut message = message(1, 5);
        message.zone = zone.to_owned();
        table.record_message(address(port), message, now);
    }
    table.add_listed(address(5), now);
    let near = table.near_addresses("a", now);
    // The first reaches the store for all, the third is of the same zone, the fifth is unknown.
    assert_eq!(near, [address(1), address(3), address(5)]);
    assert_eq!(table.addresses().len(), 5);
}

/// Guards against datagrams whose bytes between zones cost more than the requests that they save.
#[test]
fn load_datagram_is_small() {
    let load = |number: u64| PeerLoad {
        engine: (number * 80_000_003) as u32,
        requests: 20,
        units: 400_000,
        reading: 1_000,
    };
    let mut message = message(u64::MAX, 86_400_000);
    message.loads = (0..52).map(load).collect();
    let datagram = PeerDatagram::Load(message);
    let bytes = datagram.encode().unwrap();
    assert!(bytes.len() <= 52 * 12 + 60, "{} bytes", bytes.len());
    assert_eq!(PeerDatagram::decode(&bytes).unwrap(), datagram);
}
