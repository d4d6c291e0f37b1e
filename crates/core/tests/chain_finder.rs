//! Guards against chains that skip or repeat a layer, name an engine twice, use engines without room
//! or crowd one group while another is idle.

mod chain_support;

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::ChainShortage;
use dandelionroad_core::chain::CrossingBudget;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::chain_support::NOW;
use crate::chain_support::SERVICE;
use crate::chain_support::record;
use crate::chain_support::shape;
use crate::chain_support::table;

/// The number of random fleets.
const FLEETS: u64 = 10_000;

fn request(tokens: f64, excluded: &[String]) -> FinderRequest<'_> {
    FinderRequest {
        tokens,
        zone: "a",
        excluded,
        may_cross: true,
        max_wait_ms: f64::MAX,
        seed: 0,
        now: NOW,
    }
}

fn find(table: &EngineTable, tokens: f64, excluded: &[String]) -> Option<FoundChain> {
    ChainFinder::new(table, SERVICE, &shape()).find(&request(tokens, excluded))
}

fn check_chain(table: &EngineTable, chain: &FoundChain, tokens: f64) {
    let shape = shape();
    let mut next = 0;
    let mut ids = Vec::new();
    for part in &chain.stages {
        assert_eq!(part.layers.first, next, "a layer is skipped or repeated");
        assert!(!part.layers.is_empty());
        next = part.layers.end;
        let entry = table.get(&part.id).unwrap();
        let held = entry.record.layers;
        assert!(held.first <= part.layers.first && part.layers.end <= held.end);
        assert!(
            entry.is_usable(NOW),
            "an engine that is avoided or draining"
        );
        let kind = shape.kind(entry.record.kind.as_deref().unwrap()).unwrap();
        let room = shape.kv_capacity_units(kind.memory_mb, held.len()) - entry.units();
        assert!(
            room >= tokens * f64::from(part.layers.len()),
            "memory is exceeded"
        );
        ids.push(part.id.clone());
    }
    assert_eq!(next, 80);
    assert!(chain.stages.len() <= 32);
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), chain.stages.len(), "an engine stands twice");
}

#[test]
fn find_random_fleets() {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_204);
    let mut found = 0;
    for _ in 0..FLEETS {
        let mut records = Vec::new();
        for number in 0..rng.random_range(8..48) {
            let first = rng.random_range(0..80);
            let (kind, most) =
                [("large", 41), ("middle", 24), ("small", 12)][rng.random_range(0..3)];
            let end = (first + rng.random_range(0..=most)).min(80);
            let zone = ["a", "b", "c"][rng.random_range(0..3)];
            let mut listing = record(number, zone, kind, LayerRange::new(first, end));
            listing.is_draining = rng.random_range(0..12) == 0;
            records.push(listing);
        }
        let mut table = table(records);
        let ids: Vec<String> = table
            .entries()
            .iter()
            .map(|entry| entry.record.id.clone())
            .collect();
        for id in &ids {
            if rng.random_range(0..10) == 0 {
                table.record_failure(id, NOW);
            }
            table.add_request(id, rng.random_range(0.0..400_000.0));
        }
        let tokens = rng.random_range(10.0..4_000.0);
        if let Some(chain) = find(&table, tokens, &[]) {
            check_chain(&table, &chain, tokens);
            found += 1;
        }
    }
    assert!(
        found > 200,
        "only {found} of {FLEETS} fleets cover the model"
    );
}

#[test]
fn find_uses_parts_of_ranges() {
    let table = table(vec![
        record(1, "a", "large", LayerRange::new(0, 40)),
        record(2, "a", "large", LayerRange::new(30, 70)),
        record(3, "a", "large", LayerRange::new(50, 80)),
    ]);
    let chain = find(&table, 100.0, &[]).unwrap();
    check_chain(&table, &chain, 100.0);
}

/// Replays the loss of an engine in the middle of a chain while another group holds its layers.
#[test]
fn find_replaces_failed_engine() {
    let mut table = table(vec![
        record(1, "a", "large", LayerRange::new(0, 40)),
        record(2, "a", "large", LayerRange::new(40, 80)),
        record(3, "a", "middle", LayerRange::new(40, 60)),
        record(4, "a", "middle", LayerRange::new(60, 80)),
    ]);
    assert_eq!(find(&table, 100.0, &[]).unwrap().stages.len(), 2);
    table.record_failure("e002", NOW);
    let chain = find(&table, 100.0, &[]).unwrap();
    check_chain(&table, &chain, 100.0);
    assert_eq!(chain.stages.len(), 3);
}

/// Replays a steady load: with the fast group alone, its engines run out of memory and slots.
#[test]
fn find_spreads_load_over_groups() {
    let mut table = table(vec![
        record(1, "a", "large", LayerRange::new(0, 20)),
        record(2, "a", "large", LayerRange::new(20, 40)),
        record(3, "a", "large", LayerRange::new(40, 60)),
        record(4, "a", "large", LayerRange::new(60, 80)),
        record(5, "a", "middle", LayerRange::new(0, 16)),
        record(6, "a", "middle", LayerRange::new(16, 32)),
        record(7, "a", "middle", LayerRange::new(32, 48)),
        record(8, "a", "middle", LayerRange::new(48, 64)),
        record(9, "a", "middle", LayerRange::new(64, 80)),
    ]);
    let mut served = 0;
    while let Some(chain) = find(&table, 1_000.0, &[]) {
        check_chain(&table, &chain, 1_000.0);
        for part in &chain.stages {
            table.add_request(&part.id, 1_000.0 * f64::from(part.layers.len()));
        }
        served += 1;
        let (fast, slow) = (table.get("e001").unwrap(), table.get("e005").unwrap());
        // Half of the memory of the fast group takes 80 requests.
        let is_idle = slow.own_requests == 0 && fast.own_requests > 80;
        assert!(!is_idle, "the slower group is idle at request {served}");
    }
    // Memory of both groups over the memory of a request, less what is kept back.
    assert!(served > 200, "{served} requests at once");
}

/// Guards against chains that send activations over the pipe between zones.
#[test]
fn find_stays_in_zone() {
    let table = table(vec![
        record(1, "a", "middle", LayerRange::new(0, 40)),
        record(2, "a", "middle", LayerRange::new(40, 80)),
        record(3, "b", "large", LayerRange::new(0, 40)),
        record(4, "a", "small", LayerRange::new(40, 80)),
    ]);
    let chain = find(&table, 1.0, &[]);
    // Both middle engines hold more than their memory, which leaves no room.
    assert!(chain.is_none());
    let table = self::table(vec![
        record(1, "a", "middle", LayerRange::new(0, 20)),
        record(2, "a", "middle", LayerRange::new(20, 40)),
        record(3, "a", "middle", LayerRange::new(40, 60)),
        record(4, "a", "middle", LayerRange::new(60, 80)),
        record(5, "b", "large", LayerRange::new(20, 40)),
    ]);
    let chain = find(&table, 100.0, &[]).unwrap();
    assert!(chain.stages.iter().all(|part| part.id != "e005"));
}

/// Replays the loss of an engine without a twin in its zone: chains that cross share one pipe.
#[test]
fn find_crosses_only_if_allowed() {
    let table = table(vec![
        record(1, "a", "large", LayerRange::new(0, 40)),
        record(2, "b", "large", LayerRange::new(40, 80)),
    ]);
    let shape = shape();
    let finder = ChainFinder::new(&table, SERVICE, &shape);
    let mut request = request(100.0, &[]);
    assert_eq!(finder.find(&request).unwrap().crossings, 1);
    request.may_cross = false;
    assert!(finder.find(&request).is_none());
}

/// Replays 32 processes that would all cross at once: together they stay within half of the pipe.
#[test]
fn crossing_budget_shared_by_processes() {
    let shape = shape();
    let mut tokens = 0.0;
    let mut budgets = vec![CrossingBudget::new(); 32];
    for millis in (0..10_000).step_by(10) {
        for budget in &mut budgets {
            if budget.allows_crossing(&shape, 32, MilliTime::from_millis(millis)) {
                budget.spend(800.0, 1);
                tokens += 800.0;
            }
        }
    }
    let share = tokens / 10.0 / shape.link_tokens_per_second();
    assert!((0.4..0.6).contains(&share), "{share} of the pipe's rate");
}

#[test]
fn shortage_names_layer() {
    let mut table = table(vec![
        record(1, "a", "large", LayerRange::new(0, 40)),
        record(2, "a", "large", LayerRange::new(50, 80)),
    ]);
    let shape = shape();
    let shortage = |table: &EngineTable| {
        let shortages = ChainFinder::new(table, SERVICE, &shape).shortages(&request(1_000.0, &[]));
        assert_eq!(shortages.len(), 1);
        shortages[0].shortage
    };
    assert_eq!(shortage(&table), ChainShortage::NotHeld(40));
    table.add_request("e001", 1e12);
    assert_eq!(shortage(&table), ChainShortage::Full(0));
    table.record_failure("e001", NOW);
    assert_eq!(shortage(&table), ChainShortage::Avoided(0));
}

/// Guards against a log line that names no layer when each zone lacks another one.
#[test]
fn shortages_named_by_zone() {
    let table = table(vec![
        record(1, "a", "large", LayerRange::new(0, 40)),
        record(2, "b", "large", LayerRange::new(40, 80)),
    ]);
    let shape = shape();
    let finder = ChainFinder::new(&table, SERVICE, &shape);
    let shortages = finder.shortages(&request(100.0, &[]));
    let found: Vec<(&str, ChainShortage)> = shortages
        .iter()
        .map(|shortage| (shortage.zone, shortage.shortage))
        .collect();
    let expected = vec![
        ("a", ChainShortage::NotHeld(40)),
        ("b", ChainShortage::NotHeld(0)),
    ];
    assert_eq!(found, expected);
}

/// Replays callers that all come back at once after an outage: their prompts crowded the fastest chain,
/// which reads one chunk in each pass, while a slower one was idle.
#[test]
fn find_spreads_prompts_of_burst() {
    let shape = shape();
    let mut table = table(vec![
        record(1, "a", "middle", LayerRange::new(0, 16)),
        record(2, "a", "large", LayerRange::new(16, 48)),
        record(3, "a", "large", LayerRange::new(48, 80)),
        record(4, "a", "middle", LayerRange::new(0, 16)),
        record(5, "a", "middle", LayerRange::new(16, 32)),
        record(6, "a", "middle", LayerRange::new(32, 48)),
        record(7, "a", "middle", LayerRange::new(48, 64)),
        record(8, "a", "middle", LayerRange::new(64, 80)),
    ]);
    let mut fast = 0;
    for _ in 0..40 {
        let found = ChainFinder::new(&table, SERVICE, &shape).find(&request(1_000.0, &[]));
        let chain = found.unwrap();
        fast += u32::from(chain.stages.iter().any(|part| part.id == "e002"));
        for part in &chain.stages {
            table.add_request(&part.id, 1_000.0 * f64::from(part.layers.len()));
            table.add_prefill(&part.id, 800.0);
        }
    }
    // The fast chain reads at most twice as fast as the slow one.
    assert!(fast <= 27, "{fast} of 40 prompts wait at the fast chain");
}
