use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;

use crate::telemetry::report_dropped_lines;
use crate::wire::WireFormat;

use super::RelaySettings;
use super::RunningNode;

/// Runs a process until a signal stops it.
///
/// # Errors
///
/// Returns a text if an address can't be used or a signal can't be awaited.
pub async fn run_node(settings: RelaySettings, format: Box<dyn WireFormat>) -> Result<(), String> {
    LocalSet::new().run_until(run_local(settings, format)).await
}

async fn run_local(settings: RelaySettings, format: Box<dyn WireFormat>) -> Result<(), String> {
    let text = |error: std::io::Error| error.to_string();
    let mut terminate = signal(SignalKind::terminate()).map_err(text)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(text)?;
    let mut reload = signal(SignalKind::hangup()).map_err(text)?;
    let node = RunningNode::start(settings, format).await?;
    tokio::task::spawn_local(report_dropped_lines());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => spdlog::info!("node: told to reload; the addresses stay as they are"),
        }
    }
    node.stop().await;
    Ok(())
}
