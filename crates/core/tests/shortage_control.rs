//! Guards against admission under shortage where the configuration does not call for it, against wrong ranks, and
//! against limits and waits that contradict them.

mod chain_support;

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::RoomLimits;
use dandelionroad_core::relay::AdmissionVerdict;
use dandelionroad_core::relay::CallerLimits;
use dandelionroad_core::relay::DemandTable;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::relay::RelayAccount;
use dandelionroad_core::relay::RelayConfig;
use dandelionroad_core::relay::RelayRoute;
use dandelionroad_core::relay::RelayService;
use dandelionroad_core::relay::RepeatRule;
use dandelionroad_core::relay::ServiceShare;
use dandelionroad_core::relay::ShortageAdmission;
use dandelionroad_core::relay::ShortageControl;
use dandelionroad_core::relay::ShortageRequest;
use dandelionroad_core::stream::LayerRange;

use crate::chain_support::NOW;
use crate::chain_support::SERVICE;
use crate::chain_support::record;
use crate::chain_support::shape;
use crate::chain_support::table;

fn route(priority: u8, target_ms: u64) -> RelayRoute {
    RelayRoute {
        host: "shop.example".to_owned(),
        prefix: format!("/{priority}/"),
        is_stream: true,
        repeat: RepeatRule::Resumable,
        timeout_ms: 20_000,
        target_ms,
        gap_target_ms: 250,
        priority,
        max_attempts: 2,
        is_public: false,
        shares: vec![ServiceShare {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
    }
}

/// Returns the control for routes and accounts of these priorities.
fn control_of(
    shape: ModelShape,
    routes: Vec<RelayRoute>,
    accounts: &[u8],
) -> Option<ShortageControl> {
    let account = |priority: &u8| RelayAccount {
        name: format!("a{priority}"),
        keys: Vec::new(),
        priority: Some(*priority),
    };
    let service = RelayService {
        name: SERVICE.to_owned(),
        max_connections: 100,
        model: Some(shape),
    };
    let config = RelayConfig {
        version: 1,
        routes,
        services: vec![service.clone()],
        accounts: accounts.iter().map(account).collect(),
        limits: CallerLimits::default(),
    };
    ShortageControl::for_service(&config, &service)
}

fn uneven_shape() -> ModelShape {
    let mut shape = shape();
    shape.kinds[0].memory_mb = 14_400.0;
    shape
}

/// Guards against services that are treated differently although their configuration does not call for it.
#[test]
fn for_service_without_need() {
    let routes = || vec![route(1, 500), route(1, 1_000)];
    assert_eq!(control_of(shape(), routes(), &[]), None);
    assert_eq!(control_of(shape(), routes(), &[0, 2]), None);
    assert_eq!(control_of(uneven_shape(), Vec::new(), &[]), None);
    let mut other = route(0, 500);
    other.shares[0].service = "another".to_owned();
    assert_eq!(control_of(shape(), vec![route(1, 500), other], &[]), None);
}

/// Guards against services that lack the control that their configuration calls for.
#[test]
fn for_service_with_need() {
    let several = control_of(shape(), vec![route(0, 500), route(2, 1_000)], &[]);
    assert_eq!(several.unwrap().ranks().count(), 2);
    let uneven = control_of(uneven_shape(), vec![route(1, 500)], &[]);
    assert_eq!(uneven.unwrap().ranks().count(), 1);
}

/// Guards against ranks by the route before the account, and against ranks of accounts on routes without keys.
#[test]
fn rank_of_accounts() {
    let mut public = route(2, 1_000);
    public.is_public = true;
    let control = control_of(shape(), vec![route(0, 500), public], &[1]).unwrap();
    let classes = [(0, 0), (1, 0), (2, 2)];
    let ranks = classes.map(|(account, route)| control.rank(account, route));
    assert_eq!(ranks, [0, 1, 2]);
    assert_eq!(control.ranks().count(), 3);
    // Classes that are not known.
    assert_eq!((control.rank(0, 2), control.rank(9, 9)), (1, 2));
}

/// Guards against a less urgent rank whose longer target lets prompts queue before more urgent ones.
#[test]
fn target_ms_of_urgent_rank() {
    let control = control_of(shape(), vec![route(0, 500), route(1, 1_000)], &[]).unwrap();
    assert_eq!((control.target_ms(0), control.target_ms(1)), (500, 500));
}

fn admission() -> ShortageAdmission {
    let classes = vec![(0, 0, 500), (1, 1, 500), (2, 2, 1_000)];
    ShortageAdmission::new(ShortageControl::new(classes).unwrap())
}

fn request(rank: u8, left_ms: u64) -> ShortageRequest {
    ShortageRequest {
        rank,
        tokens: 1_000.0,
        target_ms: 500,
        gap_target_ms: 250,
        arrival: NOW,
        deadline: NOW.plus(left_ms),
    }
}

/// Guards against limits that take room from a rank before which no work arrives.
#[test]
fn limits_by_share() {
    let mut admission = admission();
    assert_eq!(admission.limits(2, 0.0, NOW), RoomLimits::whole(250.0));
    admission.record_arrival(0, 3_000.0, NOW);
    admission.record_arrival(1, 1_000.0, NOW);
    assert_eq!(admission.limits(0, 0.0, NOW), RoomLimits::whole(250.0));
    let middle = admission.limits(1, 70.0, NOW);
    assert!((middle.memory_share - (1.0 - 0.15 * 0.75)).abs() < 1e-9);
    assert!((middle.queue_ms - 250.0 * (1.0 - 0.5 * 0.75)).abs() < 1e-9);
    assert_eq!(middle.reserved_tokens, 70.0);
    let least = admission.limits(2, 0.0, NOW);
    assert!((least.memory_share - 0.85).abs() < 1e-9);
}

/// Guards against the refusal of a request whose caller has no time to return.
#[test]
fn decide_near_deadline() {
    let admission = admission();
    let decide = |left_ms| admission.decide(&request(0, left_ms), Some(600.0), 0.0, NOW);
    assert_eq!(decide(20_000), AdmissionVerdict::Refuse);
    assert_eq!(decide(1_700), AdmissionVerdict::Wait(NOW.plus(1_500)));
    assert_eq!(decide(1_000), AdmissionVerdict::Wait(NOW.plus(1_000)));
    assert_eq!(decide(500), AdmissionVerdict::Refuse);
}

/// Guards against an arithmetic overflow if the configuration has the greatest target times.
#[test]
fn decide_with_greatest_targets() {
    let request = ShortageRequest {
        target_ms: u64::MAX,
        gap_target_ms: u64::MAX,
        ..request(0, 1_000)
    };
    let verdict = admission().decide(&request, Some(2_000.0), 0.0, NOW);
    assert_eq!(verdict, AdmissionVerdict::Refuse);
}

/// Guards against expected waits that leave out the more urgent requests which arrive meanwhile.
#[test]
fn expected_wait_ms_behind_urgent_arrivals() {
    let mut admission = admission();
    admission.record_arrival(0, 1_000.0, NOW);
    admission.record_arrival(1, 1_000.0, NOW);
    let wait_ms = |rank| admission.expected_wait_ms(&request(rank, 20_000), Some(100.0), 0.0, NOW);
    assert!((wait_ms(0) - 100.0).abs() < 1e-6);
    assert!((wait_ms(1) - 200.0).abs() < 1e-6);
}

/// Returns a table with one engine that holds all layers of a model of 20 layers.
fn small_table() -> (EngineTable, ModelShape) {
    let engine = record(1, "a", "large", LayerRange::new(0, 20));
    let shape = ModelShape {
        layers: 20,
        ..shape()
    };
    (table(vec![engine]), shape)
}

fn room_wait_ms(table: &EngineTable, shape: &ModelShape, run_ms: f64) -> Option<f64> {
    let request = FinderRequest {
        tokens: 1_000.0,
        is_resumed: false,
        ignores_refusals: false,
        zone: "a",
        excluded: &[],
        may_cross: false,
        limits: RoomLimits::whole(250.0),
        seed: 0,
        now: NOW,
    };
    ChainFinder::new(table, SERVICE, shape).room_wait_ms(&request, run_ms)
}

/// Guards against a wait for memory that does not follow the time of a run.
#[test]
fn room_wait_ms_for_memory() {
    let (mut table, shape) = small_table();
    assert_eq!(room_wait_ms(&table, &shape, 800.0), Some(0.0));
    // The finder assigns 95 % of the memory.
    let units = shape.kv_capacity_units(72_000.0, 20) * 0.95;
    table.add_request("e001", units);
    // The missing 1,000 units are released at the rate of all units in each run.
    let wait_ms = room_wait_ms(&table, &shape, 800.0).unwrap();
    assert!((wait_ms - 800_000.0 / units).abs() < 1e-6, "{wait_ms}");
    assert_eq!(room_wait_ms(&table, &shape, 1_600.0), Some(2.0 * wait_ms));
}

/// Guards against a wait for memory that leaves out by how much a rank's limit is exceeded.
#[test]
fn room_wait_ms_beyond_limit() {
    let (mut table, shape) = small_table();
    let units = shape.kv_capacity_units(72_000.0, 20) * 0.95;
    table.add_request("e001", units * 1.5);
    // The excess of half of the memory takes a third of a run, as the running requests release it.
    let wait_ms = room_wait_ms(&table, &shape, 900.0).unwrap();
    assert!((wait_ms - 300.0).abs() < 1.0, "{wait_ms}");
}

/// Guards against room that is expected at once while all slots of the first engine are taken.
#[test]
fn room_wait_ms_for_slot() {
    let (mut table, shape) = small_table();
    for _ in 0..192 {
        table.add_request("e001", 1.0);
    }
    assert_eq!(room_wait_ms(&table, &shape, 1_930.0), Some(10.0));
}

/// Guards against a wait for prefill that does not follow the prompts before.
#[test]
fn room_wait_ms_for_prefill() {
    let (mut table, shape) = small_table();
    table.add_prefill("e001", 100_000.0);
    let shorter = room_wait_ms(&table, &shape, 800.0).unwrap();
    table.add_prefill("e001", 100_000.0);
    let longer = room_wait_ms(&table, &shape, 800.0).unwrap();
    // The time for as many prompts again, of which 250 ms may remain.
    assert!(shorter > 0.0);
    assert!((longer - (2.0 * shorter + 250.0)).abs() < 1e-6);
}

/// Guards against a wait until runs end for memory that the next division assigns, and against one for layers that no
/// engine holds.
#[test]
fn room_wait_ms_for_share() {
    let (mut table, shape) = small_table();
    let demand = DemandTable::new("a");
    table.divide_capacity(|_| 1_000_000, &demand, 0.0);
    assert_eq!(room_wait_ms(&table, &shape, 800.0), Some(100.0));
    let whole = ModelShape {
        layers: 80,
        ..shape
    };
    assert_eq!(room_wait_ms(&table, &whole, 800.0), None);
}
