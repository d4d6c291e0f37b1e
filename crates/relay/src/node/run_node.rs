use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;

use crate::telemetry::report_dropped_lines;
use crate::wire::WireFormat;

use super::RelaySettings;
use super::RunningNode;

/// The interval at which the settings are read again, in milliseconds.
///
/// The platform may change them without a signal. Reading a small file costs far less than a request.
const RELOAD_INTERVAL_MS: u64 = 5_000;

/// Runs a relay process until a termination or interrupt signal stops it.
///
/// `read_settings` is called on a hang-up signal and at an interval. It returns the settings, or a message
/// that names all errors in them.
///
/// # Errors
///
/// Returns a message if an address can't be bound or a signal handler can't be installed.
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
        let is_forced = tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => true,
            () = tokio::time::sleep(interval) => false,
        };
        let read = read_settings();
        if !is_forced && read == known {
            continue;
        }
        match &read {
            Ok(settings) => {
                if let Ok(known) = &known {
                    warn_restart_needed(known, settings);
                }
                node.reload(settings);
            }
            Err(errors) => {
                spdlog::warn!(
                    "node: settings not taken: {errors}; the previous settings stay in force"
                );
            }
        }
        known = read;
    }
    node.stop().await;
    Ok(())
}

/// Logs a warning if settings have changed that are read at the start only.
fn warn_restart_needed(known: &RelaySettings, settings: &RelaySettings) {
    let fixed = |settings: &RelaySettings| RelaySettings {
        bounds: known.bounds,
        ..settings.clone()
    };
    if fixed(settings) != *known {
        spdlog::warn!(
            "node: the name, zone or an address has changed in the settings; restart to apply it"
        );
    }
}
