//! Guards against a bound that is exceeded, placements below the product's and policies that crowd
//! engines.

use std::path::Path;

use dandelionroad_bench::chain;
use dandelionroad_bench::chain::ChainReport;
use dandelionroad_bench::chain::ChainSetup;
use dandelionroad_bench::chain::FleetFile;
use dandelionroad_bench::chain::PlacementWay;
use dandelionroad_bench::chain::SharingPolicy;
use dandelionroad_core::chain::PlacementEngine;
use dandelionroad_core::chain::ThroughputBound;

/// The fleets of the repository.
const FLEETS: [&str; 4] = [
    "engines-33-entries-5",
    "engines-33-entries-6",
    "engines-52-entries-31",
    "engines-52-entries-32",
];

fn fleet(name: &str) -> FleetFile {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("fleets/{name}.toml"));
    FleetFile::read(&path).unwrap()
}

fn placed(fleet: &FleetFile, way: PlacementWay) -> Vec<PlacementEngine> {
    way.place(
        &fleet.shape(),
        &fleet.placement_engines(1),
        &fleet.mean_request(),
    )
}

fn play(fleet: &FleetFile, policy: SharingPolicy, load: f64, surge: f64) -> ChainReport {
    chain::run(&ChainSetup {
        fleet,
        shape: &fleet.shape(),
        engines: &placed(fleet, PlacementWay::Plan),
        policy,
        load,
        surge,
        seconds: 6,
        seed: 3,
    })
}

#[test]
fn bound_holds_load_of_each_fleet() {
    for name in FLEETS {
        let fleet = fleet(name);
        let shape = fleet.shape();
        let engines = placed(&fleet, PlacementWay::Plan);
        let bound = ThroughputBound::new(&shape).fleet_rate(&engines, &fleet.mean_request());
        assert!(bound > fleet.per_second(), "{name}: {bound}");
    }
}

/// Guards against a plan that is much worse than what a search finds.
#[test]
fn plan_near_search() {
    for name in FLEETS {
        let fleet = fleet(name);
        let shape = fleet.shape();
        let demand = fleet.mean_request();
        let bound = |way| ThroughputBound::new(&shape).fleet_rate(&placed(&fleet, way), &demand);
        let (plan, search) = (bound(PlacementWay::Plan), bound(PlacementWay::Search));
        assert!(
            search >= plan,
            "{name}: the search loses {plan} to {search}"
        );
        assert!(plan >= 0.9 * search, "{name}: {plan} of {search}");
    }
}

#[test]
fn calm_load_served_in_time() {
    for name in FLEETS {
        let report = play(&fleet(name), SharingPolicy::DividedReports, 1.0, 1.0);
        assert!(report.in_time <= report.bound);
        assert!(report.share >= 0.95, "{name}: {report:?}");
    }
}

/// Replays twice the load of 52 engines with 32 entries that all fill the same free memory.
#[test]
fn divided_reports_crowd_less() {
    let fleet = fleet("engines-52-entries-32");
    let reports = play(&fleet, SharingPolicy::Reports, 2.0, 1.0);
    let divided = play(&fleet, SharingPolicy::DividedReports, 2.0, 1.0);
    assert!(
        divided.rejected <= 0.5 * reports.rejected,
        "{} of {}",
        divided.rejected,
        reports.rejected
    );
    assert!(divided.in_time >= 0.95 * reports.in_time);
}

#[test]
fn same_seed_gives_same_report() {
    let fleet = fleet("engines-33-entries-5");
    let play = || play(&fleet, SharingPolicy::DividedReports, 1.5, 2.0);
    assert_eq!(format!("{:?}", play()), format!("{:?}", play()));
}
