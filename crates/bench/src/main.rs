//! Measures the decisions of dandelionroad under load, in simulated milliseconds.

use argh::FromArgs;
use dandelionroad_bench::cost;
use dandelionroad_bench::sim;
use dandelionroad_bench::sim::LoadWorkload;
use dandelionroad_bench::sim::RoutePolicy;
use dandelionroad_bench::sim::RunSetup;
use dandelionroad_bench::sim::SimFault;

/// Measures the decisions of dandelionroad.
#[derive(FromArgs)]
struct BenchArgs {
    #[argh(subcommand)]
    command: BenchCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum BenchCommand {
    Cost(CostArgs),
    Load(LoadArgs),
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

fn main() {
    let args: BenchArgs = argh::from_env();
    match args.command {
        BenchCommand::Cost(CostArgs {}) => print_costs(),
        BenchCommand::Load(load) => run_loads(&load),
    }
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
