//! Prints the bytes of a load message with and without demands of six ranks.
//!
//! `cargo run -p dandelionroad-relay --example load_message_bytes` prints a row for each number of engines that the
//! sender uses. Numbers are encoded with variable length, so the row is for the usual sizes that are named here.

use dandelionroad_relay::peer::LoadMessage;
use dandelionroad_relay::peer::PeerDatagram;
use dandelionroad_relay::peer::PeerDemand;
use dandelionroad_relay::peer::PeerLoad;
use dandelionroad_relay::peer::PriorityDemand;

/// The numbers of engines that a sender uses.
const ENGINES: [u32; 4] = [0, 10, 20, 56];

/// The number of priorities with demand.
const RANKS: u8 = 6;

fn main() {
    println!("engines used | without demands | with demands of {RANKS} ranks");
    for engines in ENGINES {
        let (without, with) = (bytes(engines, 0), bytes(engines, RANKS));
        println!("{engines} | {without} | {with}");
    }
}

/// Returns the length of the datagram of a sender that uses this many engines.
fn bytes(engines: u32, ranks: u8) -> usize {
    let load = |engine: u32| PeerLoad {
        // Tags and services are hashes, which take five bytes in most cases.
        engine: u32::MAX - engine,
        requests: 4,
        units: 80_000,
        reading: 800,
    };
    let demand = |priority| PriorityDemand {
        priority,
        waiting_tokens: 4_000,
        arriving_tokens: 20_000,
    };
    let demands = match ranks {
        0 => Vec::new(),
        _ => vec![PeerDemand {
            service: u32::MAX,
            priorities: (0..ranks).map(demand).collect(),
        }],
    };
    let datagram = PeerDatagram::Load(LoadMessage {
        internal: ([10, 20, 30, 40], 7_340).into(),
        zone: "zone-1".to_owned(),
        run: u64::MAX,
        stamp: 86_400_000,
        reaches_store: true,
        capacity: 90,
        listing_age_ms: 600,
        listing_grace_ms: 0,
        loads: (0..engines).map(load).collect(),
        demands,
    });
    datagram.encode().expect("the message is encoded").len()
}
