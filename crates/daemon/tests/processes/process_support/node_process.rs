use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::BufReader;
use tokio::process::Child;

/// A running daemon process, killed on drop.
pub(crate) struct NodeProcess {
    pub(crate) name: String,
    pub(crate) internal: String,
    /// The address of the callers' listener; empty for an endpoint.
    pub(crate) public: String,
    /// The address of the administration listener; empty for an endpoint.
    pub(crate) admin: String,
    child: Child,
}

impl NodeProcess {
    /// Starts the daemon and waits for its ready line.
    pub(crate) async fn spawn(args: &[&str], variables: &[(&str, String)]) -> NodeProcess {
        let args = [args, &["--log-level", "warn"]].concat();
        NodeProcess::spawn_with(&args, variables, Stdio::inherit()).await
    }

    /// Starts the daemon with its standard error redirected to `log`, and waits for its ready line.
    pub(crate) async fn spawn_with(
        args: &[&str],
        variables: &[(&str, String)],
        log: Stdio,
    ) -> NodeProcess {
        let mut child = tokio::process::Command::new(env!("CARGO_BIN_EXE_dandelionroad"))
            .args(args)
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let line = output.lines().next_line().await.unwrap();
        let line = line.unwrap_or_else(|| panic!("{args:?} ended without a ready line"));
        let field = |key: &str| {
            let mut fields = line.split(' ').filter_map(|field| field.split_once('='));
            let found = fields.find(|(name, _)| *name == key);
            found.map_or_else(String::new, |(_, value)| value.to_owned())
        };
        NodeProcess {
            name: field("name"),
            internal: field("internal"),
            public: field("public"),
            admin: field("admin"),
            child,
        }
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().expect("the process was not waited for");
        let status = Command::new("kill")
            .args([format!("-{signal}"), pid.to_string()])
            .status();
        assert!(status.unwrap().success(), "can't signal {}", self.name);
    }

    /// Reads a piped log until the process closes it.
    pub(crate) async fn read_log(&mut self) -> String {
        let mut text = String::new();
        let log = self.child.stderr.as_mut().expect("the log is piped");
        log.read_to_string(&mut text).await.unwrap();
        text
    }

    /// Waits until the process exits.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().await.unwrap()
    }
}
