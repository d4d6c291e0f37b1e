//! Guards against chains that skip or repeat a layer, use an engine twice, use engines without memory,
//! or overload one group of engines while another is idle.

mod chain_support;

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::ChainShortage;
use dandelionroad_core::chain::CrossingBudget;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::chain::RoomLimits;
use dandelionroad_core::chain::RoomShortage;
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
const FLEET_COUNT: u64 = 10_000;

fn request(tokens: f64, excluded: &[String]) -> FinderRequest<'_> {
    FinderRequest {
        tokens,
        is_resumed: false,
        ignores_refusals: false,
        zone: "a",
        excluded,
        may_cross: true,
        limits: RoomLimits::whole(f64::MAX),
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
    for stage in &chain.stages {
        assert_eq!(stage.layers.first, next, "a layer is skipped or repeated");
        assert!(!stage.layers.is_empty());
        next = stage.layers.end;
        let entry = table.get(&stage.id).unwrap();
        let held = entry.record.layers;
        assert!(held.first <= stage.layers.first && stage.layers.end <= held.end);
        assert!(entry.is_usable(NOW), "{} is avoided or draining", stage.id);
        let kind = shape.kind(entry.record.kind.as_deref().unwrap()).unwrap();
        let free_units = shape.kv_capacity_units(kind.memory_mb, held.len()) - entry.units();
        assert!(
            free_units >= tokens * f64::from(stage.layers.len()),
            "the memory of {} is exceeded",
            stage.id
        );
        ids.push(stage.id.clone());
    }
    assert_eq!(next, 80);
    assert!(chain.stages.len() <= 32);
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), chain.stages.len(), "an engine is used twice");
}

/// Checks the chains of random fleets with failed, draining and loaded engines.
#[test]
fn find_random_fleets() {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_204);
    let mut found = 0;
    for _ in 0..FLEET_COUNT {
        let mut records = Vec::new();
        for number in 0..rng.random_range(8..48) {
            let first = rng.random_range(0..80);
            let (kind, max_layers) =
                [("large", 41), ("middle", 24), ("small", 12)][rng.random_range(0..3)];
            let end = (first + rng.random_range(0..=max_layers)).min(80);
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
        "only {found} of {FLEET_COUNT} fleets cover the model"
    );
}

/// Guards against a model that counts as not covered because the ranges of engines overlap.
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

/// Guards against requests that fail although other engines hold the layers of a failed one.
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

/// Guards against a steady load that exhausts the memory and slots of the fast group while the slower
/// group is idle.
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
        for stage in &chain.stages {
            table.add_request(&stage.id, 1_000.0 * f64::from(stage.layers.len()));
        }
        served += 1;
        let (fast, slow) = (table.get("e001").unwrap(), table.get("e005").unwrap());
        // 80 requests take half of the memory of the fast group.
        let is_idle = slow.own_requests == 0 && fast.own_requests > 80;
        assert!(!is_idle, "the slower group is idle at request {served}");
    }
    // The memory of both groups divided by that of a request, less the share that is not allocated.
    assert!(served > 200, "only {served} requests at once");
}

/// Guards against chains that send activations over the link between zones although one zone can serve
/// the request.
#[test]
fn find_stays_in_zone() {
    let table = table(vec![
        record(1, "a", "middle", LayerRange::new(0, 40)),
        record(2, "a", "middle", LayerRange::new(40, 80)),
        record(3, "b", "large", LayerRange::new(0, 40)),
        record(4, "a", "small", LayerRange::new(40, 80)),
    ]);
    let chain = find(&table, 1.0, &[]);
    // The layers of both middle engines exceed their memory, which leaves none for requests.
    assert!(chain.is_none());
    let table = self::table(vec![
        record(1, "a", "middle", LayerRange::new(0, 20)),
        record(2, "a", "middle", LayerRange::new(20, 40)),
        record(3, "a", "middle", LayerRange::new(40, 60)),
        record(4, "a", "middle", LayerRange::new(60, 80)),
        record(5, "b", "large", LayerRange::new(20, 40)),
    ]);
    let chain = find(&table, 100.0, &[]).unwrap();
    assert!(chain.stages.iter().all(|stage| stage.id != "e005"));
}

/// Guards against chains that cross zones although the budget for crossings is spent. All requests
/// of a zone need such chains when it has lost its only engine with some layers, and they share one
/// link.
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

/// Guards against 32 processes that together exceed half of the rate of the link between zones.
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
    assert!(
        (0.4..0.6).contains(&share),
        "{share} of the link's rate, expected about 0.5"
    );
}

/// Guards against a log line that names the wrong cause or layer when no chain is found.
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
    let full = shortage(&table);
    assert!(
        matches!(
            full,
            ChainShortage::Full(0, RoomShortage::Memory { missing_units }) if missing_units > 0.0
        ),
        "{full:?}"
    );
    table.record_failure("e001", NOW);
    assert_eq!(shortage(&table), ChainShortage::Avoided(0));
}

/// Guards against a log line without a layer when each zone lacks different layers.
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

/// Guards against prompts that queue at the fastest chain, which prefills one chunk in each pass, while a
/// slower chain is idle. This happens when many callers return at once after an outage.
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
        fast += u32::from(chain.stages.iter().any(|stage| stage.id == "e002"));
        for stage in &chain.stages {
            table.add_request(&stage.id, 1_000.0 * f64::from(stage.layers.len()));
            table.add_prefill(&stage.id, 800.0);
        }
    }
    // The fast chain prefills at most twice as fast as the slow one.
    assert!(
        fast <= 27,
        "{fast} of 40 prompts wait at the fast chain, expected at most 27"
    );
}

/// Guards against chains over engines that leave or have asked for a pause, and against a wait for a zone that has a
/// chain without them.
#[test]
fn find_leaves_out_unavailable_engines() {
    let half =
        |number, zone, first| record(number, zone, "large", LayerRange::new(first, first + 40));
    let mut table = table(vec![half(0, "a", 0), half(1, "a", 40), half(2, "a", 40)]);
    let shape = shape();
    let pause_end = |table: &EngineTable| ChainFinder::new(table, SERVICE, &shape).pause_end(NOW);
    table.record_leaving("e001", NOW);
    let chain = find(&table, 100.0, &[]).unwrap();
    assert_eq!(chain.stages[1].id, "e002");
    assert_eq!(pause_end(&table), None);
    let end = table.record_pause("e002", 2_000, 0, NOW).unwrap();
    assert!(find(&table, 100.0, &[]).is_none());
    assert_eq!(pause_end(&table), Some(end));
    let request = request(100.0, &[]);
    let shortages = ChainFinder::new(&table, SERVICE, &shape).shortages(&request);
    assert_eq!(shortages[0].shortage, ChainShortage::Paused(40));
}
