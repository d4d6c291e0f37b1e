//! Runs the demonstration on fixed ports, or measures the latency that the router adds.

use std::process::ExitCode;

use dandelionroad_core::stream::LayerRange;
use dandelionroad_daemon::telemetry;
use dandelionroad_demo::DemoAction;
use dandelionroad_demo::DemoCluster;
use dandelionroad_demo::DemoCommand;
use dandelionroad_demo::DemoError;
use dandelionroad_demo::DemoLayout;
use dandelionroad_demo::DemoOptions;
use dandelionroad_demo::LAYERS;
use dandelionroad_demo::LatencyCommand;
use dandelionroad_demo::LatencyRun;
use dandelionroad_demo::demo_ticket;
use dandelionroad_demo::sample_calls;
use dandelionroad_settings::LogFormat;
use dandelionroad_settings::LogLevel;

/// The time that an engine takes for a step, in microseconds; long enough that tokens appear one by
/// one.
const STEP_US: u64 = 20_000;

#[tokio::main]
async fn main() -> ExitCode {
    let command: DemoCommand = argh::from_env();
    if let Err(error) = telemetry::install_logs(LogLevel::Warn, LogFormat::Text) {
        eprintln!("demo: can't set up logs: {error}; check the standard error stream");
        return ExitCode::FAILURE;
    }
    let result = match command.action {
        None => run().await,
        Some(DemoAction::Latency(latency)) => measure(&latency).await,
        Some(DemoAction::Calls(_)) => {
            println!("{}", sample_calls());
            Ok(())
        }
        Some(DemoAction::Ticket(_)) => {
            println!("{:#}", demo_ticket(&DemoLayout::three_stages()));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), DemoError> {
    let cluster = DemoCluster::start(DemoOptions {
        has_fixed_ports: true,
        step_us: STEP_US,
        ..DemoOptions::three_stages()
    })
    .await?;
    cluster.apply_ticket().await?;
    cluster.wait_ready().await;
    println!("{}", sample_calls());
    // If no handler can be installed, the demonstration ends at once.
    let _ = tokio::signal::ctrl_c().await;
    Ok(())
}

async fn measure(command: &LatencyCommand) -> Result<(), DemoError> {
    let whole = [LayerRange::new(0, LAYERS)];
    let equal_ranges = [
        LayerRange::new(0, 4),
        LayerRange::new(4, 8),
        LayerRange::new(8, LAYERS),
    ];
    for ranges in [&whole[..], &equal_ranges[..]] {
        let run = LatencyRun::measure(command, ranges).await?;
        println!("{run}");
        for failure in run.failures() {
            println!("    {failure}");
        }
    }
    Ok(())
}
