use std::process::ExitCode;

use dandelionroad_settings::NodeRole;
use dandelionroad_settings::NodeSettings;
use dandelionroad_settings::SettingsError;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::node::NodeClients;
use crate::node::NodeHandle;
use crate::telemetry;
use crate::telemetry::TelemetryHub;

use super::EXIT_BAD_SETTINGS;

/// The number of worker threads of an endpoint, which shares its host with an engine.
const ENDPOINT_THREADS: usize = 2;

/// Installs logs and telemetry, and runs one node until a signal stops it.
pub(super) fn run(settings: Result<NodeSettings, SettingsError>) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("dandelionroad: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if let Err(error) = telemetry::install_logs(settings.log_level, settings.log_format) {
        eprintln!("dandelionroad: can't set up logs: {error}; check the standard error stream");
        return ExitCode::FAILURE;
    }
    TelemetryHub::install(&settings);
    let result = match new_runtime(settings.role) {
        Ok(runtime) => runtime.block_on(run_node(settings)),
        Err(error) => Err(format!(
            "can't start threads: {error}; raise the limit of threads or processes"
        )),
    };
    if let Some(hub) = TelemetryHub::installed() {
        hub.flush();
    }
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::error!("node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn new_runtime(role: NodeRole) -> std::io::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    if role == NodeRole::Endpoint {
        builder.worker_threads(ENDPOINT_THREADS);
    }
    builder.enable_all().build()
}

async fn run_node(settings: NodeSettings) -> Result<(), String> {
    // Installed before the ready line is printed, so that an early signal isn't lost.
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let clients = NodeClients::from_settings(&settings);
    let name = settings.name.clone();
    let handle = NodeHandle::start(settings, clients)
        .await
        .map_err(|error| error.to_string())?;
    println!("{}", ready_line(&name, &handle));
    spdlog::info!("node: started as {name}");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let running = handle.context.requests.running();
    spdlog::info!("node: leaving, {running} requests in progress");
    tokio::select! {
        () = handle.shutdown() => spdlog::info!("node: stopped"),
        _ = interrupt.recv() => spdlog::warn!("node: interrupted while leaving, requests in progress are cut off"),
    }
    Ok(())
}

/// Returns the ready line, from which the parent process reads the bound addresses.
fn ready_line(name: &str, handle: &NodeHandle) -> String {
    let mut line = format!("ready name={name} internal={}", handle.internal);
    for (key, address) in [("public", handle.public), ("admin", handle.admin)] {
        if let Some(address) = address {
            line.push_str(&format!(" {key}={address}"));
        }
    }
    line
}
