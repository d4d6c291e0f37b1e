use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;

use crate::telemetry::report_dropped_lines;
use crate::wire::WireFormat;

use super::RelaySettings;
use super::RunningNode;

/// The time between two looks at the settings, in milliseconds.
///
/// The platform may change them without a signal; a read of a small file costs far less than a request.
const RELOAD_INTERVAL_MS: u64 = 5_000;

/// Runs a process until a signal stops it.
///
/// `read_settings` is called again on a hang-up signal and at an interval; it returns the settings, or a
/// text that names all their faults.
///
/// # Errors
///
/// Returns a text if an address can't be used or a signal can't be awaited.
pub async fn run_node(
    settings: RelaySettings,
    read_settings: impl Fn() -> Result<RelaySettings, String>,
    format: Box<dyn WireFormat>,
) -> Result<(), String> {
    let node = run_local(settings, read_settings, format);
    LocalSet::new().run_until(node).await
}

async fn run_local(
    settings: RelaySettings,
    read_settings: impl Fn() -> Result<RelaySettings, String>,
    format: Box<dyn WireFormat>,
) -> Result<(), String> {
    let text = |error: std::io::Error| error.to_string();
    let mut terminate = signal(SignalKind::terminate()).map_err(text)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(text)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(text)?;
    let mut known = Ok(settings.clone());
    let node = RunningNode::start(settings, format).await?;
    tokio::task::spawn_local(report_dropped_lines());
    loop {
        let interval = Duration::from_millis(RELOAD_INTERVAL_MS);
        let is_told = tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => true,
            () = tokio::time::sleep(interval) => false,
        };
        let read = read_settings();
        if !is_told && read == known {
            continue;
        }
        match &read {
            Ok(settings) => {
                if let Ok(known) = &known {
                    warn_of_restart(known, settings);
                }
                node.reload(settings);
            }
            Err(faults) => {
                spdlog::warn!("node: settings not taken: {faults}; the ones in force stay");
            }
        }
        known = read;
    }
    node.stop().await;
    Ok(())
}

/// Writes down that some of the changed settings are read at the start alone.
fn warn_of_restart(known: &RelaySettings, settings: &RelaySettings) {
    let fixed = |settings: &RelaySettings| RelaySettings {
        bounds: known.bounds,
        ..settings.clone()
    };
    if fixed(settings) != *known {
        spdlog::warn!("node: name, zone or addresses have changed; start the process anew");
    }
}
