//! Measures the decisions of dandelionroad under load, in simulated milliseconds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use argh::FromArgs;
use dandelionroad_bench::chain;
use dandelionroad_bench::chain::ChainSetup;
use dandelionroad_bench::chain::FleetError;
use dandelionroad_bench::chain::FleetFile;
use dandelionroad_bench::chain::PlacementWay;
use dandelionroad_bench::chain::SharingPolicy;
use dandelionroad_bench::cost;
use dandelionroad_bench::sim;
use dandelionroad_bench::sim::LoadWorkload;
use dandelionroad_bench::sim::RoutePolicy;
use dandelionroad_bench::sim::RunSetup;
use dandelionroad_bench::sim::SimFault;
use dandelionroad_core::chain::ThroughputBound;

/// Measures the decisions of dandelionroad.
#[derive(FromArgs)]
struct BenchArgs {
    #[argh(subcommand)]
    command: BenchCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum BenchCommand {
    Chains(ChainArgs),
    Cost(CostArgs),
    Load(LoadArgs),
}

/// Simulates chains of engines for a fleet in a file, beside the bound by maximum flow.
///
/// Prints a line of JSON for each way to place layers, and one for each policy.
#[derive(FromArgs)]
#[argh(subcommand, name = "chains")]
struct ChainArgs {
    /// file with the fleet and its load; see crates/bench/fleets
    #[argh(option)]
    fleet: PathBuf,
    /// way to place layers: even, pace, greedy, plan or search (default: all)
    #[argh(option)]
    placement: Option<PlacementWay>,
    /// what entries know of each other: alone, fixed-shares, reports, divided-reports or truth
    /// (default: all)
    #[argh(option)]
    policy: Option<SharingPolicy>,
    /// prints bounds and times of the placements only
    #[argh(switch)]
    only_bound: bool,
    /// factor on the number of engines (default: 1)
    #[argh(option, default = "1")]
    scale: u16,
    /// factor on the load of the file (default: 1)
    #[argh(option, default = "1.0")]
    load: f64,
    /// factor on the first account's load in the second half of the time (default: 1)
    #[argh(option, default = "1.0")]
    surge: f64,
    /// simulated seconds of arrivals (default: 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Measures time and size of single decisions at 1, 10 and 100 times today's size.
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
struct CostArgs {}

/// Simulates workloads and prints one line of JSON for each run.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// workload (default: all)
    #[argh(option)]
    workload: Option<LoadWorkload>,
    /// policy (default: all)
    #[argh(option)]
    policy: Option<RoutePolicy>,
    /// fault (default: all)
    #[argh(option)]
    fault: Option<SimFault>,
    /// load over the bound (default: 1.2 in the morning and evening, 1 for the surge, 1.5 for the
    /// large account)
    #[argh(option)]
    load: Option<f64>,
    /// simulated seconds of arrivals (default: 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// number of entries (default: 3)
    #[argh(option, default = "3")]
    entries: usize,
    /// seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> ExitCode {
    let args: BenchArgs = argh::from_env();
    match args.command {
        BenchCommand::Chains(chains) => {
            if let Err(error) = run_chains(&chains) {
                eprintln!("dandelion-bench: {error}");
                return ExitCode::FAILURE;
            }
        }
        BenchCommand::Cost(CostArgs {}) => print_costs(),
        BenchCommand::Load(load) => run_loads(&load),
    }
    ExitCode::SUCCESS
}

fn run_chains(args: &ChainArgs) -> Result<(), FleetError> {
    let fleet = FleetFile::read(&args.fleet)?;
    let shape = fleet.shape();
    let demand = fleet.mean_request();
    let empty = fleet.placement_engines(args.scale);
    for way in selected(args.placement, &PlacementWay::ALL) {
        let begun = Instant::now();
        let engines = way.place(&shape, &empty, &demand);
        let place_ms = begun.elapsed().as_secs_f64() * 1_000.0;
        let bound = ThroughputBound::new(&shape).fleet_rate(&engines, &demand);
        let line = serde_json::json!({
            "placement": way.as_str(),
            "engines": engines.len(),
            "place_ms": (place_ms * 100.0).round() / 100.0,
            "bound": bound.round(),
        });
        println!("{line}");
        if args.only_bound {
            continue;
        }
        for policy in selected(args.policy, &SharingPolicy::ALL) {
            let report = chain::run(&ChainSetup {
                fleet: &fleet,
                shape: &shape,
                engines: &engines,
                policy,
                load: args.load,
                surge: args.surge,
                seconds: args.seconds,
                seed: args.seed,
            });
            let line = serde_json::to_string(&report).expect("reports are serializable");
            println!("{line}");
        }
    }
    Ok(())
}

fn print_costs() {
    for line in cost::measure() {
        let line = serde_json::to_string(&line).expect("costs are serializable");
        println!("{line}");
    }
}

fn run_loads(args: &LoadArgs) {
    for workload in selected(args.workload, &LoadWorkload::ALL) {
        for fault in selected(args.fault, &SimFault::ALL) {
            for policy in selected(args.policy, &RoutePolicy::ALL) {
                let report = sim::run(&RunSetup {
                    policy,
                    workload,
                    fault,
                    load: args.load.unwrap_or(workload.default_load()),
                    seconds: args.seconds,
                    entries: args.entries.max(1),
                    seed: args.seed,
                });
                let line = serde_json::to_string(&report).expect("reports are serializable");
                println!("{line}");
            }
        }
    }
}

fn selected<T: Copy>(choice: Option<T>, all: &[T]) -> Vec<T> {
    choice.map_or(all.to_vec(), |value| vec![value])
}
