//! Guards against a faulty configuration that passes the check, and against a finding about a sound one.

use dandelionroad_core::relay::AcceleratorKind;
use dandelionroad_core::relay::CallerLimits;
use dandelionroad_core::relay::ConfigCheck;
use dandelionroad_core::relay::FindingLevel;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::relay::RelayAccount;
use dandelionroad_core::relay::RelayConfig;
use dandelionroad_core::relay::RelayRoute;
use dandelionroad_core::relay::RelayService;
use dandelionroad_core::relay::RepeatRule;
use dandelionroad_core::relay::ServiceShare;

use FindingLevel::Error;
use FindingLevel::Warning;

/// The level, the start of the place and a part of the text of a finding.
type ExpectedFinding = (FindingLevel, &'static str, &'static str);

/// A change of the sound configuration.
type ConfigChange = fn(&mut RelayConfig);

fn share(service: &str, weight: u32) -> ServiceShare {
    ServiceShare {
        service: service.to_owned(),
        weight,
    }
}

fn route(host: &str, prefix: &str, service: &str) -> RelayRoute {
    RelayRoute {
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        is_stream: false,
        repeat: RepeatRule::Idempotent,
        timeout_ms: 20_000,
        target_ms: 500,
        gap_target_ms: 250,
        priority: 1,
        max_attempts: 2,
        is_public: false,
        shares: vec![share(service, 1)],
    }
}

fn kind(name: &str, memory_mb: f64) -> AcceleratorKind {
    AcceleratorKind {
        name: name.to_owned(),
        memory_mb,
        step_factor: 1.0,
        read_factor: 1.0,
    }
}

fn account(name: &str, keys: &[&str]) -> RelayAccount {
    RelayAccount {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
    }
}

/// Returns a configuration without findings.
fn sound() -> RelayConfig {
    let shape = ModelShape {
        layers: 80,
        layer_mb: 1_750.0,
        kinds: vec![kind("large", 72_000.0), kind("small", 14_400.0)],
        ..ModelShape::default()
    };
    let service = |name: &str, model| RelayService {
        name: name.to_owned(),
        max_connections: 100,
        model,
    };
    RelayConfig {
        version: 7,
        routes: vec![
            route("shop.example", "/m/", "model"),
            route("shop.example", "/o/", "orders"),
        ],
        services: vec![service("model", Some(shape)), service("orders", None)],
        accounts: vec![account("a", &["key-1", "key-2"]), account("b", &["key-3"])],
        limits: CallerLimits::default(),
    }
}

/// Returns the findings of the sound configuration after a change: level, place and text.
fn findings(change: impl FnOnce(&mut RelayConfig)) -> Vec<(FindingLevel, String, String)> {
    let mut config = sound();
    change(&mut config);
    let findings = ConfigCheck::new(&config).findings();
    let lines = findings.into_iter().map(|finding| {
        let place = format!("{:?}", finding.place);
        (finding.fault.level(), place, finding.fault.to_string())
    });
    lines.collect()
}

/// Fails unless the change causes just these findings.
#[track_caller]
fn assert_findings(change: impl FnOnce(&mut RelayConfig), expected: &[ExpectedFinding]) {
    let found = findings(change);
    let is_equal = found.len() == expected.len()
        && found.iter().zip(expected).all(|(found, expected)| {
            found.0 == expected.0 && found.1.starts_with(expected.1) && found.2.contains(expected.2)
        });
    assert!(is_equal, "{found:#?}");
}

#[test]
fn findings_of_sound_config() {
    assert_findings(|_| {}, &[]);
}

/// Guards against routes that the route index finds by chance or never.
#[test]
fn findings_of_unmatched_routes() {
    let add = |host: &'static str, prefix: &'static str| {
        move |config: &mut RelayConfig| config.routes.push(route(host, prefix, "orders"))
    };
    let place = "Route(2)";
    let same = [(Error, place, "same host and prefix")];
    assert_findings(add("SHOP.example", "/o/"), &same);
    assert_findings(add("shop.example", "/O/"), &[]);
    for prefix in ["x/", "/x", "", "/x?/"] {
        assert_findings(
            add("shop.example", prefix),
            &[(Error, place, "no path matches")],
        );
    }
    let with_port = [(Error, place, "leave out the port")];
    assert_findings(add("shop.example:80", "/x/"), &with_port);
}

/// Guards against a limit on heads that no request of a route meets, and one byte less.
#[test]
fn findings_of_long_prefix() {
    let head_bytes = "GET /m/ HTTP/1.1\r\nhost: shop.example\r\n\r\n".len();
    assert_findings(|config| config.limits.header_bytes = head_bytes, &[]);
    let long = |place| (Error, place, "above the limit");
    assert_findings(
        |config| config.limits.header_bytes = head_bytes - 1,
        &[long("Route(0)"), long("Route(1)")],
    );
}

/// Guards against shares whose requests are refused, or that get none.
#[test]
fn findings_of_shares() {
    let set = |shares: Vec<ServiceShare>| {
        move |config: &mut RelayConfig| config.routes[1].shares = shares
    };
    let unused = (Warning, "Service(\"orders\")", "no route sends");
    assert_findings(set(vec![]), &[(Error, "Route(1)", "no service"), unused]);
    assert_findings(
        set(vec![share("gone", 1)]),
        &[
            (
                Error,
                "Share { route: 1, share: 0 }",
                "'gone'; its requests",
            ),
            unused,
        ],
    );
    assert_findings(
        set(vec![share("orders", 1), share("gone", 0)]),
        &[
            (Warning, "Share { route: 1, share: 1 }", "gets no requests"),
            (
                Warning,
                "Share { route: 1, share: 1 }",
                "no requests go to it",
            ),
        ],
    );
    // The first service gets all requests if all weights are zero.
    assert_findings(
        set(vec![share("orders", 0), share("model", 0)]),
        &[(Warning, "Route(1)", "all weights are below 1")],
    );
}

/// Guards against times and numbers of attempts that contradict each other.
#[test]
fn findings_of_contradicting_values() {
    let cases: [(ConfigChange, ExpectedFinding); 6] = [
        (
            |config| config.routes[0].target_ms = 20_001,
            (Warning, "Route(0)", "target time of 20001 ms"),
        ),
        (
            |config| config.routes[0].gap_target_ms = 20_001,
            (Warning, "Route(0)", "target gap of 20001 ms"),
        ),
        (
            |config| config.routes[0].timeout_ms = 0,
            (Error, "Route(0)", "time-out of 0 ms"),
        ),
        (
            |config| config.routes[1].repeat = RepeatRule::AtMostOnce,
            (Warning, "Route(1)", "2 attempts"),
        ),
        (
            |config| config.limits.header_timeout_ms = 20_001,
            (Warning, "Limits", "position 0, 20000 ms"),
        ),
        (
            |config| config.routes[0].priority = 10,
            (Warning, "Route(0)", "priority 10"),
        ),
    ];
    for (change, expected) in cases {
        assert_findings(change, &[expected]);
    }
}

/// Guards against engines that differ in what they do with priorities that they don't tell apart.
#[test]
fn findings_of_many_priorities() {
    let set = |count: u8| {
        move |config: &mut RelayConfig| {
            let accounts = (0..count).map(|priority| RelayAccount {
                priority: Some(priority),
                ..account("p", &[&format!("p{priority}")])
            });
            config.accounts.extend(accounts);
        }
    };
    assert_findings(set(10), &[]);
    let low = (Warning, "Account(12)", "priority 10");
    assert_findings(set(11), &[low, (Warning, "Whole", "11 distinct")]);
}

/// Guards against model services that can't be placed.
#[test]
fn findings_of_kinds() {
    let set = |memory_mb: f64| {
        move |config: &mut RelayConfig| {
            let shape = config.services[0].model.as_mut().unwrap();
            shape.kinds[0].memory_mb = memory_mb;
            shape.kinds.truncate(1);
        }
    };
    assert_findings(set(1_750.0), &[]);
    assert_findings(
        set(1_749.0),
        &[
            (Warning, "Kind", "none of the 80 layers"),
            (Error, "Service(\"model\")", "no kind"),
        ],
    );
}

/// Guards against keys whose account is found by chance, and against a key in the text of a finding.
#[test]
fn findings_of_keys() {
    let set = |keys: &'static [&'static str]| {
        move |config: &mut RelayConfig| config.accounts[1] = account("b", keys)
    };
    let place = "Account(1)";
    assert_findings(set(&["key-2"]), &[(Error, place, "account at position 0")]);
    assert_findings(set(&[]), &[(Warning, place, "no keys")]);
    assert_findings(
        set(&["key-3", "key-3"]),
        &[(Warning, place, "more than once")],
    );
    assert_findings(set(&["key-3 "]), &[(Warning, place, "white space")]);
    assert_findings(
        |config| config.accounts.clear(),
        &[(Warning, "Whole", "need no key")],
    );
    let shared = findings(set(&["key-2", "key-2", " key-2"]));
    assert_eq!(shared.len(), 3);
    assert!(!format!("{shared:?}").contains("key-"), "{shared:?}");
}

/// Guards against a configuration that no process adopts.
#[test]
fn version_finding_unless_above() {
    let mut later = sound();
    for (version, is_found) in [(6, true), (7, true), (8, false)] {
        later.version = version;
        let finding = ConfigCheck::new(&later).version_finding(&sound());
        assert_eq!(finding.is_some(), is_found, "version {version}");
    }
}

/// Guards against a change that the operator doesn't see, and against a key among the differences.
#[test]
fn differences_of_each_part() {
    let mut later = sound();
    assert!(ConfigCheck::new(&later).differences(&sound()).is_empty());
    later.version = 8;
    later.limits.body_bytes = 9;
    later.routes[0].timeout_ms = 9_000;
    later.routes[0].host = "SHOP.example".to_owned();
    later.routes[1].prefix = "/n/".to_owned();
    later.services[0].model.as_mut().unwrap().kinds.pop();
    later.services[1].max_connections = 5;
    later.accounts[0].keys = vec!["key-2".to_owned(), "key-4".to_owned(), "key-5".to_owned()];
    later.accounts[1].priority = Some(2);
    let differences = ConfigCheck::new(&later).differences(&sound());
    let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
    let expected = [
        "configuration: version from 7 to 8",
        "limits: body in bytes from 4194304 to 9",
        "route shop.example/o/: removed",
        "route shop.example/m/: time-out in ms from 20000 to 9000",
        "route shop.example/n/: added",
        "service model, kind small: removed",
        "service orders: connections from 100 to 5",
        "account a: 2 keys added, 1 keys revoked",
        "account b: priority from that of the route to 2",
    ];
    assert_eq!(lines, expected);
}
