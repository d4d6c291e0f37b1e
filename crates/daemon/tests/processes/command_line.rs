//! The command `check` and the log of a running daemon.
//!
//! The tests guard against a check that passes settings with which the daemon can't start, against
//! log lines that can't be assigned to their request, and against secrets in the output.

use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;

use dandelionroad_standins::load::CallerClient;
use serde_json::Value;

use super::process_support::NodeProcess;

/// The addresses of the outside systems, at which nothing listens, and an admin token.
const URLS: [(&str, &str); 4] = [
    ("DANDELIONROAD_TABLE_URL", "http://127.0.0.1:1"),
    ("DANDELIONROAD_OBJECT_URL", "http://127.0.0.1:1"),
    ("DANDELIONROAD_HOSTS_URL", "http://127.0.0.1:1"),
    ("DANDELIONROAD_ADMIN_TOKEN", "token-of-the-test"),
];

/// Runs `check entry` with further arguments; returns the exit code and the output.
fn run_check(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dandelionroad"));
    command
        .args(["check", "entry", "--name", "entry-1"])
        .args(args);
    let Output { status, stdout, .. } = command.envs(URLS).output().unwrap();
    (status.code(), String::from_utf8(stdout).unwrap())
}

/// Guards against exit codes and texts that don't distinguish invalid settings (2), a listener that
/// can't be bound (1), and an outside system that doesn't answer, which is only a warning (0).
#[test]
fn check_distinguishes_faults_errors_and_warnings() {
    let any = "127.0.0.1:0";
    let free = [
        "--public-listen",
        any,
        "--admin-listen",
        any,
        "--internal-listen",
        any,
    ];
    let (code, output) = run_check(&free);
    assert_eq!(code, Some(2), "{output}");
    assert!(
        output.contains("--zone (DANDELIONROAD_ZONE) is missing"),
        "{output}"
    );
    let (code, output) = run_check(&[&free[..], &["--zone", "talca"]].concat());
    assert_eq!(code, Some(0), "{output}");
    assert!(
        output.contains("warning: the table service can't be reached"),
        "{output}"
    );
    let used = TcpListener::bind(any).unwrap();
    let address = used.local_addr().unwrap().to_string();
    let (code, output) = run_check(
        &[
            &free[2..],
            &["--zone", "talca", "--public-listen", &address],
        ]
        .concat(),
    );
    assert_eq!(code, Some(1), "{output}");
    assert!(output.contains("error: --public-listen"), "{output}");
    assert!(!output.contains("token-of-the-test"), "{output}");
}

/// Guards against a refusal whose log line lacks the identifier that the caller got, and against
/// lines that are not JSON.
#[tokio::test]
async fn entry_json_log_names_the_request() {
    let any = "127.0.0.1:0";
    let args = [
        "entry",
        "--name",
        "entry-1",
        "--zone",
        "talca",
        "--public-listen",
        any,
    ];
    let more = [
        "--admin-listen",
        any,
        "--internal-listen",
        any,
        "--drain-notice-ms",
        "1",
    ];
    let log = ["--log-format", "json", "--log-level", "info"];
    let variables = URLS.map(|(name, value)| (name, value.to_owned()));
    let args = [&args[..], &more, &log].concat();
    let mut entry = NodeProcess::spawn_with(&args, &variables, Stdio::piped()).await;
    let url = format!("http://{}/v1/chat/completions", entry.public);
    let (status, body) = CallerClient::new("nobody").post(&url, "{}").await.unwrap();
    assert_eq!(status, 401);
    let body: Value = serde_json::from_str(&body).unwrap();
    entry.signal("TERM");
    let log = entry.read_log().await;
    assert!(entry.wait_for_exit().await.success());
    assert!(!log.contains("token-of-the-test"), "{log}");
    let lines: Vec<Value> = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    assert_eq!(lines.len(), log.lines().count(), "{log}");
    let request = &body["error"]["request_id"];
    let line = lines.iter().find(|line| line["kv"]["request"] == *request);
    let line = line.unwrap_or_else(|| panic!("{request} is not in {log}"));
    assert_eq!(line["kv"]["reason"], "unauthorized");
}

/// Guards against refusals between clusters that one of the logs does not tell, and against a line
/// for each attempt of a process that tries again each second.
#[tokio::test]
async fn entries_of_two_clusters_log_the_refusal_once() {
    let any = "127.0.0.1:0";
    let listen = [
        "--public-listen",
        any,
        "--admin-listen",
        any,
        "--internal-listen",
        any,
    ];
    let names = ["entry", "--name", "entry-1", "--zone", "talca"];
    let drain = ["--drain-notice-ms", "1"];
    let variables = URLS.map(|(name, value)| (name, value.to_owned()));
    let common = [&names[..], &listen, &drain].concat();
    let args = [&common[..], &["--cluster", "north"]].concat();
    let mut north = NodeProcess::spawn_with(&args, &variables, Stdio::piped()).await;
    let seeds = ["--cluster", "south", "--seeds", &north.internal];
    let args = [&common[..], &seeds].concat();
    let mut south = NodeProcess::spawn_with(&args, &variables, Stdio::piped()).await;
    // Some attempts, one a second.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    for (node, parts) in [
        (&mut north, ["cluster south", "cluster north"]),
        (&mut south, ["cluster south", "belongs to another cluster"]),
    ] {
        node.signal("TERM");
        let log = node.read_log().await;
        assert!(node.wait_for_exit().await.success());
        let lines = log.lines().filter(|line| line.contains("cluster"));
        let lines: Vec<&str> = lines.collect();
        assert_eq!(lines.len(), 1, "{log}");
        for part in parts {
            assert!(lines[0].contains(part), "{part:?} is not in {log}");
        }
    }
}
