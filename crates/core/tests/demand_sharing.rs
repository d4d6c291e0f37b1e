//! Guards against wrong weights of entries and wrong sums of their demand.

mod chain_support;

use dandelionroad_core::relay::DemandTable;
use dandelionroad_core::relay::SharedDemand;
use dandelionroad_core::route::hash_text;

use crate::chain_support::NOW;
use crate::chain_support::SERVICE;

fn service() -> u64 {
    hash_text(0, SERVICE)
}

/// Guards against weights that leave memory unused or promise it twice: the weights of a zone add up to 1, also
/// once an entry is silent, whose part then goes to the others. An entry without demand keeps a small part.
#[test]
fn own_weight_sums_to_one() {
    let arriving = [9_000.0, 800.0, 200.0, 0.0];
    let weights = |live: &[usize]| -> Vec<f64> {
        let weight = |own: &usize| {
            let mut demand = DemandTable::new("a");
            if arriving[*own] > 0.0 {
                // The mean over the first 100 ms, the shortest span of the moving average.
                demand.record_arrival(service(), 1, arriving[*own] * 0.0975, NOW);
            }
            let others = live.iter().filter(|other| *other != own);
            let report = |other: &usize| shared_demand("a", 1, 0.0, arriving[*other]);
            demand.set_peer_demands(&others.map(report).collect::<Vec<_>>());
            demand
                .own_weight(service(), "a", live.len() as u32)
                .unwrap()
        };
        live.iter().map(weight).collect()
    };
    let all = weights(&[0, 1, 2, 3]);
    assert!((all.iter().sum::<f64>() - 1.0).abs() < 0.01, "{all:?}");
    assert!(all[0] > 0.8 && (0.02..0.03).contains(&all[3]), "{all:?}");
    let left = weights(&[1, 2, 3]);
    assert!((left.iter().sum::<f64>() - 1.0).abs() < 0.01, "{left:?}");
    assert!(left[0] > 0.7 && left[1] > 0.2, "{left:?}");
}

/// Guards against a service without shortage control that is divided otherwise than before, against entries of
/// another zone that take over an engine, and against work of the same or a less urgent priority counted as earlier.
#[test]
fn demand_counts_by_service_zone_and_priority() {
    let mut demand = DemandTable::new("a");
    demand.record_arrival(service(), 1, 500.0, NOW);
    assert_eq!(demand.own_weight(hash_text(0, "other"), "a", 4), None);
    assert_eq!(demand.own_weight(service(), "b", 4), Some(0.25));
    let peers = [(0, 300.0), (1, 20.0), (2, 1.0)];
    demand.set_peer_demands(
        &peers.map(|(priority, tokens)| shared_demand("b", priority, tokens, tokens)),
    );
    assert_eq!(demand.waiting_before(service(), 2), 320.0);
    let arriving = demand.arriving(service(), 1) - demand.own_demands()[0].arriving_tokens;
    assert!((arriving - 20.0).abs() < 1e-6, "{arriving}");
    demand.refresh(NOW.plus(30_000));
    assert_eq!(demand.own_demands(), []);
}

fn shared_demand(zone: &str, priority: u8, waiting: f64, arriving: f64) -> SharedDemand {
    SharedDemand {
        service: service() as u32,
        zone: hash_text(0, zone),
        priority,
        waiting_tokens: waiting,
        arriving_tokens: arriving,
    }
}
