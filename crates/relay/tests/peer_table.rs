//! Guards against confirmations that outlive the process for which they were meant.

use std::net::SocketAddr;

use dandelionroad_core::time::MilliTime;
use dandelionroad_relay::peer::PeerMessage;
use dandelionroad_relay::peer::PeerTable;

fn message(run: u64, stamp: u64) -> PeerMessage {
    PeerMessage {
        name: "n2".to_owned(),
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
    table.heard(address, message(1, 900_000), time(1_000));
    let stamps = table.stamps();
    table.config_read(&stamps);
    table.listing_read(&stamps);
    assert_eq!(table.confirmations(), [(address, 1, 900_000, 900_000)]);
    // The host starts again; its clock and its process are new.
    let before = table.stamps();
    assert!(table.heard(address, message(2, 40), time(1_100)));
    assert_eq!(table.confirmations(), [(address, 2, 0, 0)]);
    // A read that was begun before does not confirm anything to the new one.
    table.config_read(&before);
    assert_eq!(table.confirmations(), [(address, 2, 0, 0)]);
}

#[test]
fn heard_older_message_is_dropped() {
    let address: SocketAddr = "127.0.0.1:9000".parse().unwrap();
    let time = MilliTime::from_millis;
    let mut table = PeerTable::new();
    assert!(table.heard(address, message(1, 500), time(1_000)));
    assert!(!table.heard(address, message(1, 400), time(1_010)));
    assert_eq!(table.stamps(), [(address, 1, 500)]);
    // Silent processes no longer count.
    assert_eq!(table.live(time(3_400)), 1);
    assert_eq!(table.live(time(3_600)), 0);
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
        table.heard(address(port), message, now);
    }
    table.listed(address(5), now);
    let near = table.near_addresses("a", now);
    // The first reaches the store for all, the third is of the same zone, the fifth is unknown.
    assert_eq!(near, [address(1), address(3), address(5)]);
    assert_eq!(table.addresses().len(), 5);
}
