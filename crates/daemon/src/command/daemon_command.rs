use argh::FromArgs;

use super::DaemonAction;

/// Route requests through model pipelines on mixed accelerators.
///
/// An entry takes callers' requests behind the balancer; an endpoint runs beside one model engine
/// or plain service and is the only process that talks to it.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Run an entry:\n  DANDELIONROAD_ADMIN_TOKEN=... {command_name} entry --name entry-1 --zone talca \\\n    --table-url http://10.0.0.5:8100 --object-url http://10.0.0.5:8101 \\\n    --hosts-url http://10.0.0.5:8102 --public-listen 10.0.1.1:8080",
    example = "Run an endpoint beside an engine that holds a range of layers:\n  {command_name} endpoint --name east-1 --zone talca --engine-kind layer-range \\\n    --engine-url http://127.0.0.1:9000 --internal-listen 10.0.2.1:7401 \\\n    --table-url http://10.0.0.5:8100 --object-url http://10.0.0.5:8101 \\\n    --hosts-url http://10.0.0.5:8102",
    note = "Once its listeners are bound, the daemon prints one line to standard output: ready, its name and the bound addresses. Logs are written to standard error.",
    note = "SIGTERM or SIGINT drains the daemon: it exits when the last request in progress has ended. SIGINT during the drain exits at once.",
    note = "Each flag has an environment variable: --table-url is DANDELIONROAD_TABLE_URL. A flag takes precedence over its variable."
)]
pub struct DaemonCommand {
    /// the subcommand to run
    #[argh(subcommand)]
    pub action: DaemonAction,
}
