//! Guards against a simulation that gives different reports for equal seeds, and against a flow policy
//! with a lower throughput than the simple policies.

use dandelionroad_bench::sim;
use dandelionroad_bench::sim::LoadWorkload;
use dandelionroad_bench::sim::RoutePolicy;
use dandelionroad_bench::sim::RunReport;
use dandelionroad_bench::sim::RunSetup;
use dandelionroad_bench::sim::SimFault;

/// Simulates 48 seconds with three entries.
fn simulate(policy: RoutePolicy, workload: LoadWorkload, fault: SimFault, load: f64) -> RunReport {
    sim::run(&RunSetup {
        policy,
        workload,
        fault,
        load,
        seconds: 48,
        entries: 3,
        seed: 1,
    })
}

#[test]
fn run_repeats_with_equal_seed() {
    let run = || {
        simulate(
            RoutePolicy::Flow,
            LoadWorkload::Morning,
            SimFault::Loss,
            1.2,
        )
    };
    let texts = [run(), run()].map(|report| serde_json::to_string(&report).unwrap());
    assert_eq!(texts[0], texts[1]);
}

#[test]
fn run_flow_has_highest_throughput() {
    let run = |policy| simulate(policy, LoadWorkload::Morning, SimFault::None, 1.2).throughput;
    let flow = run(RoutePolicy::Flow);
    for policy in RoutePolicy::ALL {
        assert!(
            policy == RoutePolicy::Flow || run(policy) < flow,
            "{} has no lower throughput than flow",
            policy.as_str()
        );
    }
}
