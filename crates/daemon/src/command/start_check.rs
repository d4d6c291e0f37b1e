use std::net::SocketAddr;
use std::process::ExitCode;

use dandelionroad_settings::EngineKind;
use dandelionroad_settings::NodeRole;
use dandelionroad_settings::NodeSettings;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

use crate::node::NodeClients;

use super::EXIT_BAD_SETTINGS;
use super::RoleFlags;
use super::read_variable;

/// The findings of `dandelionroad check` for settings without faults.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StartCheck {
    /// Listeners that can't be bound, which keep the daemon from starting.
    pub errors: Vec<String>,
    /// Outside systems that don't answer; the daemon starts without them.
    pub warnings: Vec<String>,
}

impl StartCheck {
    /// Binds and releases each listener, and queries each outside system once.
    pub async fn run(settings: &NodeSettings) -> StartCheck {
        let mut check = StartCheck::default();
        check
            .bind("internal-listen", settings.internal_listen)
            .await;
        if settings.role == NodeRole::Entry {
            check.bind("public-listen", settings.public_listen).await;
            check.bind("admin-listen", settings.admin_listen).await;
        }
        let clients = NodeClients::from_settings(settings);
        check.warn(clients.table.read("config-revision").await.err());
        check.warn(clients.object.get("check").await.err());
        check.warn(clients.host.list().await.err());
        if settings.role == NodeRole::Endpoint
            && settings.engine_kind != EngineKind::PlainService
            && let Some(engine) = clients.engine
        {
            check.warn(engine.state().await.err());
        }
        check
    }

    async fn bind(&mut self, flag: &str, address: SocketAddr) {
        if let Err(error) = TcpListener::bind(address).await {
            let text =
                format!("--{flag}: can't listen on {address}: {error}; choose a free address");
            self.errors.push(text);
        }
    }

    fn warn(&mut self, error: Option<impl ToString>) {
        self.warnings.extend(error.map(|error| error.to_string()));
    }
}

/// Checks the settings of a role, prints the findings and returns the exit code.
pub(super) fn run(role: &RoleFlags) -> ExitCode {
    let settings = match role {
        RoleFlags::Entry(flags) => flags.read(&read_variable),
        RoleFlags::Endpoint(flags) => flags.read(&read_variable),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            println!("{error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            println!("error: can't start the check: {error}; raise the limit of open files");
            return ExitCode::FAILURE;
        }
    };
    let check = runtime.block_on(StartCheck::run(&settings));
    for warning in &check.warnings {
        println!("warning: {warning}");
    }
    for error in &check.errors {
        println!("error: {error}");
    }
    if check.errors.is_empty() {
        println!("ok: the daemon would start");
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
