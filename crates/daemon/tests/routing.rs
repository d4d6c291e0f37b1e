//! Guards against routes through endpoints that are leaving or load another version, bounds that
//! count such endpoints, and load that accumulates on one of several equal endpoints.

use std::sync::Arc;

use dandelionroad_core::config::AccountSpec;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::ModelSpec;
use dandelionroad_core::config::PoolMember;
use dandelionroad_core::config::PoolSpec;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::HostName;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::ident::PoolName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::ident::ZoneName;
use dandelionroad_core::member::HeldModel;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberRole;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_core::time::MilliTime;
use dandelionroad_daemon::entry::routing::CallLoads;
use dandelionroad_daemon::entry::routing::EntryLimits;
use dandelionroad_daemon::entry::routing::RoutingState;
use dandelionroad_daemon::entry::routing::model_bounds;

const LAYERS: u16 = 12;
const NOW: MilliTime = MilliTime::from_millis(1_000);

fn member(index: usize) -> MemberRecord {
    MemberRecord {
        name: format!("e{index}"),
        role: MemberRole::Endpoint,
        host: HostName::parse("host").unwrap(),
        zone: ZoneName::parse("talca").unwrap(),
        address: format!("127.0.0.1:{}", 7_000 + index),
        incarnation: 1,
        state: MemberState::Live,
        sequence: 0,
        held: None,
    }
}

/// Returns the configuration and the members of a pool with two endpoints for each half of the
/// layers, each of 100 tokens per second.
fn cluster_state() -> (ConfigState, MemberTable) {
    let model = ModelName::parse("palm").unwrap();
    let mut config = ConfigState::new();
    config.models = vec![ModelSpec {
        name: model.clone(),
        version: 1,
        layers: LAYERS,
        weights: "palm-1".to_owned(),
    }];
    let endpoints = (0..4).map(|index| PoolMember {
        name: EndpointName::parse(&format!("e{index}")).unwrap(),
        first_layer: [0, 6][index / 2],
        end_layer: [6, LAYERS][index / 2],
        tokens_per_second: 100,
    });
    config.pools = vec![PoolSpec {
        name: PoolName::parse("pool").unwrap(),
        model,
        version: 1,
        min_ready: 1,
        endpoints: endpoints.collect(),
    }];
    let mut members = MemberTable::new();
    for index in 0..4 {
        members.merge(&member(index));
    }
    (config, members)
}

fn order(number: usize) -> StreamOrder {
    StreamOrder {
        request: RequestIdent::parse(&format!("r{number}")).unwrap(),
        attempt: 0,
        account: AccountName::parse("cordeleria").unwrap(),
        weight: 1,
        priority: 0,
        model: ModelName::parse("palm").unwrap(),
        version: 1,
        fingerprint: "aa".to_owned(),
        suspect: false,
        route: ChainRoute { stages: Vec::new() },
        prompt: "knot".to_owned(),
        sent: Vec::new(),
        max_tokens: 10,
        deadline_in_ms: 1_000,
    }
}

/// Guards against routes through a member that is leaving or whose engine holds another version,
/// and against bounds that count such members.
#[test]
fn choose_route_excludes_unusable_members() {
    let (config, mut members) = cluster_state();
    assert_eq!(model_bounds(&config, &members)[0].tokens_per_second, 200);
    let mut leaving = member(0);
    leaving.state = MemberState::Leaving;
    members.merge(&leaving);
    let mut loading = member(2);
    loading.sequence = 1;
    loading.held = Some(HeldModel {
        model: ModelName::parse("palm").unwrap(),
        version: 2,
        range: LayerRange::new(6, LAYERS),
    });
    members.merge(&loading);
    assert_eq!(model_bounds(&config, &members)[0].tokens_per_second, 100);
    let (config, members) = (Arc::new(config), Arc::new(members));
    let routing = RoutingState::new("entry-0", 7);
    for number in 0..20 {
        let order = order(number);
        let route = routing.choose_route(&config, &members, &order, &[], None, NOW);
        let names: Vec<_> = route
            .unwrap()
            .stages
            .into_iter()
            .map(|stage| stage.endpoint)
            .collect();
        assert_eq!(
            names,
            ["e1", "e3"].map(|name| EndpointName::parse(name).unwrap())
        );
    }
}

/// Guards against requests that accumulate at one of two equal endpoints, and against a repair of a
/// route that replaces stages that have not failed.
#[test]
fn choose_route_balances_load_and_replaces_one_stage() {
    let (config, members) = cluster_state();
    let (config, members) = (Arc::new(config), Arc::new(members));
    let routing = RoutingState::new("entry-0", 7);
    let choose =
        |number: usize| routing.choose_route(&config, &members, &order(number), &[], None, NOW);
    let routes: Vec<ChainRoute> = (0..200).map(|number| choose(number).unwrap()).collect();
    let heads = routes
        .iter()
        .filter(|route| route.stages[0].endpoint.as_str() == "e0");
    assert!((98..=102).contains(&heads.count()));
    assert!(routes.iter().all(|route| route.covers(LAYERS)));
    let lost = routes[0].stages[1].endpoint.clone();
    let kept = Some((&routes[0], 1));
    let excluded = [lost.clone()];
    let route = routing
        .choose_route(&config, &members, &order(0), &excluded, kept, NOW)
        .unwrap();
    assert_eq!(route.stages[0], routes[0].stages[0]);
    assert_ne!(route.stages[1].endpoint, lost);
}

/// Guards against entries that each grant the full limit, and against retries without a budget.
#[test]
fn limits_are_divided_among_entries_and_retries_are_bounded() {
    let (mut config, mut members) = cluster_state();
    let account = AccountName::parse("cordeleria").unwrap();
    config.accounts = vec![AccountSpec {
        name: account.clone(),
        secret_sha256: "0".repeat(64),
        units_per_second: 100,
        burst_units: 400,
        weight: 1,
        priority: 0,
        services: Vec::new(),
        models: Vec::new(),
    }];
    for index in 4..6 {
        let mut entry = member(index);
        entry.role = MemberRole::Entry;
        members.merge(&entry);
    }
    let (config, members) = (Arc::new(config), Arc::new(members));
    let limits = EntryLimits::new();
    let take = |units, now| limits.take(&config, &members, &account, units, now);
    assert_eq!(take(200, NOW), Ok(()));
    assert_eq!(take(50, NOW), Err(1_000));
    assert_eq!(take(50, NOW.plus(1_000)), Ok(()));
    let retries = (0..100).filter(|_| limits.take_retry()).count();
    assert!(retries <= 20, "{retries} retries");
}

/// Guards against a pool that serves nothing during a rollout, because neither version is held by
/// all its engines, and against an answer that mixes two versions.
#[test]
fn choose_version_requires_complete_chain() {
    let (mut config, mut members) = cluster_state();
    config.models[0].version = 2;
    config.pools[0].version = 2;
    let set_held =
        |members: &mut MemberTable, index: usize, sequence: u64, version: Option<u32>| {
            let first = [0, 6][index / 2];
            let held = version.map(|version| HeldModel {
                model: ModelName::parse("palm").unwrap(),
                version,
                range: LayerRange::new(first, first + 6),
            });
            members.merge(&MemberRecord {
                sequence,
                held,
                ..member(index)
            });
        };
    let config = Arc::new(config);
    let routing = RoutingState::new("entry-0", 7);
    for index in 0..4 {
        set_held(&mut members, index, 1, Some(1));
    }
    let started = StreamOrder {
        sent: vec!["knot".to_owned()],
        ..order(1)
    };
    // Each step: the endpoint, the version that it then holds, and the expected versions of a new
    // request and of one that has sent tokens.
    let steps = [
        (0, None, 1, 1),
        (0, Some(2), 1, 1),
        (2, None, 1, 1),
        (2, Some(2), 2, 1),
        (1, None, 2, 2),
    ];
    for (sequence, (index, version, new, old)) in steps.into_iter().enumerate() {
        set_held(&mut members, index, sequence as u64 + 2, version);
        let members = Arc::new(members.clone());
        assert_eq!(routing.choose_version(&config, &members, &order(0)), new);
        assert_eq!(routing.choose_version(&config, &members, &started), old);
        let wanted = StreamOrder {
            version: new,
            ..order(0)
        };
        let route = routing.choose_route(&config, &members, &wanted, &[], None, NOW);
        assert!(route.unwrap().covers(LAYERS));
        assert!(model_bounds(&config, &members)[0].tokens_per_second >= 100);
    }
}

/// Guards against calls that accumulate at a busy endpoint of a service.
#[test]
fn call_loads_prefer_less_loaded_endpoint() {
    let names = ["s0", "s1"].map(|name| EndpointName::parse(name).unwrap());
    let loads = CallLoads::new(7);
    loads.begin_call(&names[0]);
    assert!((0..20).all(|_| loads.pick(&names, NOW) == Some(1)));
    loads.end_call(&names[0], None, NOW);
    let first = (0..40)
        .filter(|_| loads.pick(&names, NOW) == Some(0))
        .count();
    assert!((5..=35).contains(&first), "{first} of 40");
}
