//! Simulates and measures the decisions of dandelionroad; prints one line of JSON for each result.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use argh::FromArgs;
use dandelionroad_bench::chain;
use dandelionroad_bench::chain::ChainSetup;
use dandelionroad_bench::chain::FleetError;
use dandelionroad_bench::chain::FleetFile;
use dandelionroad_bench::chain::PlacementStrategy;
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

/// Simulates chains of engines for a fleet in a file and computes the throughput bound.
///
/// Prints a line of JSON for each placement strategy, and one for each simulated sharing policy.
#[derive(FromArgs)]
#[argh(subcommand, name = "chains")]
struct ChainArgs {
    /// path of a file with the fleet and its load; see crates/bench/fleets
    #[argh(option)]
    fleet: PathBuf,
    /// placement strategy for layers: even, pace, greedy, plan, by-memory, by-speed-per-memory, mixed
    /// or search (default: all)
    #[argh(option)]
    placement: Option<PlacementStrategy>,
    /// how entries share their loads: alone, fixed-shares, reports, divided-reports or truth
    /// (default: all)
    #[argh(option)]
    policy: Option<SharingPolicy>,
    /// only prints the bound and the computing time of each placement, without a simulation
    #[argh(switch)]
    only_bound: bool,
    /// multiplier on the number of engines (default: 1)
    #[argh(option, default = "1")]
    scale: u16,
    /// multiplier on the load of the file (default: 1)
    #[argh(option, default = "1.0")]
    load: f64,
    /// multiplier on the first account's load in the second half of the time (default: 1)
    #[argh(option, default = "1.0")]
    surge: f64,
    /// simulated seconds of arrivals (default: 30)
    #[argh(option, default = "30")]
    seconds: u64,
    /// seed of the random draws (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Measures the time and result size of single decisions at 1, 10 and 100 times the base size.
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
struct CostArgs {}

/// Simulates routing and admission under load and prints a line of JSON for each run.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// workload: morning, evening, surge or large-account (default: all)
    #[argh(option)]
    workload: Option<LoadWorkload>,
    /// routing policy: flow, random, round-robin, least-outstanding or fastest-chain (default: all)
    #[argh(option)]
    policy: Option<RoutePolicy>,
    /// fault: none, loss, lag or link (default: all)
    #[argh(option)]
    fault: Option<SimFault>,
    /// load as a multiple of the throughput bound (default: 1.2 for morning and evening, 1 for surge,
    /// 1.5 for large-account)
    #[argh(option)]
    load: Option<f64>,
    /// simulated seconds of arrivals (default: 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// number of entries (default: 3)
    #[argh(option, default = "3")]
    entries: usize,
    /// seed of the random draws (default: 1)
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
    let profile = fleet.mean_request();
    let unplaced = fleet.placement_engines(args.scale);
    for strategy in selected(args.placement, &PlacementStrategy::ALL) {
        let start = Instant::now();
        let engines = strategy.place(&shape, &unplaced, &profile);
        let place_ms = start.elapsed().as_secs_f64() * 1_000.0;
        let bound = ThroughputBound::new(&shape).fleet_rate(&engines, &profile);
        let line = serde_json::json!({
            "placement": strategy.as_str(),
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

/// Returns the chosen value, or all values without a choice.
fn selected<T: Copy>(choice: Option<T>, all: &[T]) -> Vec<T> {
    choice.map_or(all.to_vec(), |value| vec![value])
}
