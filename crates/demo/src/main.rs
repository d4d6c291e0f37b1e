//! Starts the demonstration on fixed ports, or measures the latency that the router adds.

use std::process::ExitCode;

use dandelionroad_daemon::telemetry;
use dandelionroad_demo::ACCOUNT_SECRET;
use dandelionroad_demo::ADMIN_TOKEN;
use dandelionroad_demo::DemoCluster;
use dandelionroad_demo::DemoError;
use dandelionroad_demo::DemoOptions;
use dandelionroad_demo::MODEL;
use dandelionroad_settings::LogFormat;
use dandelionroad_settings::LogLevel;

/// The time of one step of an engine, in microseconds, so that tokens appear one by one.
const STEP_US: u64 = 20_000;

#[tokio::main]
async fn main() -> ExitCode {
    if let Err(error) = telemetry::install_logs(LogLevel::Info, LogFormat::Text) {
        eprintln!("demo: can't set up logs: {error}; check the standard error stream");
        return ExitCode::FAILURE;
    }
    match run().await {
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
    print_calls(&cluster);
    // Without a handler the signal ends the process at once.
    let _ = tokio::signal::ctrl_c().await;
    Ok(())
}

fn print_calls(cluster: &DemoCluster) {
    let urls = cluster.entry_urls();
    let entry = &urls[0];
    let other = urls.last().unwrap_or(entry);
    let admin = cluster.admin_url(0);
    let booking = cluster.booking.url();
    let bearer = format!("-H 'authorization: Bearer {ACCOUNT_SECRET}'");
    let json = "-H 'content-type: application/json'";
    println!(
        "Ready. Two entries, a three-stage pipeline and a booking service run on loopback.

Stream an answer through the three stages:
  curl -N {entry}/v1/completions {bearer} {json} \\
    -d '{{\"model\":\"{MODEL}\",\"prompt\":\"how do I splice a hawser\",\"max_tokens\":24,\"stream\":true}}'

Ask in the form of a chat, in one piece, at the other entry:
  curl {other}/v1/chat/completions {bearer} {json} \\
    -d '{{\"model\":\"{MODEL}\",\"messages\":[{{\"role\":\"user\",\"content\":\"which knot\"}}]}}'

Book; give the line twice, and the second answer comes from the record of the first:
  curl -i {other}/services/booking/book {bearer} {json} -H 'idempotency-key: order-1' \\
    -d '{{\"item\":\"hawser\",\"quantity\":1}}'
  curl {booking}/count

Look up the stock:
  curl {entry}/services/booking/stock/hawser {bearer}

See the configuration and the members:
  curl {admin}/admin/v1/config -H 'authorization: Bearer {ADMIN_TOKEN}'
  curl {admin}/admin/v1/members -H 'authorization: Bearer {ADMIN_TOKEN}'

Ctrl-C ends the demonstration."
    );
}
