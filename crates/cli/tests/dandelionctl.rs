//! The command-line tool with a running entry, and with log files.

#[path = "../../daemon/tests/control_support/mod.rs"]
#[allow(dead_code, reason = "shared with the tests of the daemon")]
mod control_support;

use std::io::Write;
use std::process::Command;
use std::process::Stdio;

use control_support::ControlSystem;
use control_support::TOKEN;
use control_support::entry_settings;
use control_support::service_ticket;
use dandelionroad_standins::server::FaultPlan;
use dandelionroad_standins::server::ServerMode;

/// Runs the tool with `input` on standard input; returns the exit code, and the output and errors.
async fn run_dandelionctl(
    address: &str,
    token: &str,
    arguments: &str,
    input: &str,
) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dandelionctl"));
    command
        .args(arguments.split_whitespace())
        .env("DANDELIONROAD_ADMIN_ADDRESS", address)
        .env("DANDELIONROAD_ADMIN_TOKEN", token)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let input = input.to_owned();
    let waiting = tokio::task::spawn_blocking(move || {
        let mut child = command.spawn().unwrap();
        child
            .stdin
            .take()
            .unwrap()
            .write_all(input.as_bytes())
            .unwrap();
        child.wait_with_output().unwrap()
    });
    let output = waiting.await.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap(),
        String::from_utf8(text).unwrap(),
    )
}

/// Guards against exit codes that differ from the documented ones, and against verdicts that hide a
/// fault of the ticket, a lost response or an outage of the table service.
#[tokio::test(flavor = "multi_thread")]
async fn dandelionctl_exits_as_documented() {
    let mut system = ControlSystem::start().await;
    system.add(entry_settings("entry-1")).await;
    let address = system.nodes[0].admin.unwrap().to_string();
    let faulty = r#"{"number":9,"colour":1,"services":[{"name":"A b","idempotent":true}],
        "models":[{"name":"m","version":1,"layers":"x","weights":"w"}]}"#;
    let gap = r#"{"number":9,"models":[{"name":"m","version":1,"layers":8,"weights":"w"}],
        "pools":[{"name":"p","model":"m","version":1,"min_ready":1,"endpoints":[
        {"name":"a","first_layer":0,"end_layer":3,"tokens_per_second":5},
        {"name":"b","first_layer":4,"end_layer":8,"tokens_per_second":5}]}]}"#;
    let first = service_ticket(7, "east");
    let second = service_ticket(8, "west");
    let cases = [
        (
            "apply --wait",
            first.as_str(),
            0,
            "in force at all 1 processes",
        ),
        ("apply", &first, 0, "revision 1 before"),
        ("apply", &service_ticket(7, "west"), 3, "conflict"),
        ("apply", &second, 0, "accepted as revision 2"),
        (
            "apply",
            &service_ticket(6, "east"),
            3,
            "service booking holds ticket 8",
        ),
        ("apply", faulty, 2, "services[0].endpoints: missing"),
        ("apply", faulty, 2, "models[0].layers"),
        ("apply", faulty, 2, "colour: unknown field"),
        (
            "apply",
            gap,
            2,
            "pools[0].endpoints: no endpoint holds layers 3..4",
        ),
        ("apply absent.json", "", 1, "can't read absent.json"),
        ("show service booking", "", 0, "\"ticket\": 8"),
        ("show service absent", "", 8, "there is no service absent"),
        ("list service", "", 0, "booking  8       2"),
        ("history", "", 0, "service/booking"),
        ("members", "", 0, "entry-1"),
        ("endpoints", "", 0, "service/booking"),
        ("--json bound", "", 0, "\"revision\": 2"),
        ("wait 99 --timeout-ms 1", "", 6, "not in force"),
        ("--help", "", 0, "the ticket may have taken effect"),
    ];
    for (arguments, input, code, expected) in cases {
        let (found, text) = run_dandelionctl(&address, TOKEN, arguments, input).await;
        assert_eq!(found, code, "{arguments}: {text}");
        assert!(text.contains(expected), "{arguments}: {text}");
    }
    assert_eq!(
        run_dandelionctl(&address, "wrong", "members", "").await.0,
        7
    );
    assert_eq!(
        run_dandelionctl("127.0.0.1:1", TOKEN, "members", "")
            .await
            .0,
        7
    );
    let lost = FaultPlan {
        cut_after: 1,
        ..FaultPlan::default()
    };
    system.table.faults().set(lost);
    let third = service_ticket(10, "east");
    let (code, text) = run_dandelionctl(&address, TOKEN, "apply", &third).await;
    assert_eq!((code, text.trim()), (0, "accepted as revision 3"));
    let down = FaultPlan {
        mode: ServerMode::Down,
        ..FaultPlan::default()
    };
    system.table.faults().set(down);
    let (code, text) =
        run_dandelionctl(&address, TOKEN, "apply", &service_ticket(11, "east")).await;
    assert_eq!(code, 4, "{text}");
}

/// Guards against an explanation that misses lines of the request or of its engines, includes lines
/// of others, or needs a running entry.
///
/// An operator on call has only the logs of the entries, to whose lines a log collector may have
/// added a prefix.
#[tokio::test]
async fn explain_prints_lines_of_request_and_engines() {
    let line = |millis: u64, payload: &str, kv: &str| {
        format!(r#"{{"level":"info","timestamp":{millis},"payload":"{payload}","kv":{kv}}}"#)
    };
    let log = [
        line(
            9_000,
            "request: served",
            r#"{"request":"r1","engines":"e1+e2;e3","whole_ms":3000,"cause":"engine lost"}"#,
        ),
        // A line with text that a log collector put before it.
        format!(
            "front-1 {}",
            line(
                6_400,
                "engines: avoided: reported as stalled",
                r#"{"engine":"e2"}"#
            )
        ),
        line(6_300, "engines: gone", r#"{"engine":"e9"}"#),
        line(1_000, "engines: listed", r#"{"engine":"e1"}"#),
        line(
            8_000,
            "request: served",
            r#"{"request":"r2","engines":"e1"}"#,
        ),
        "no log line".to_owned(),
    ]
    .join("\n");
    let (status, output) = run_dandelionctl("127.0.0.1:9", "", "explain r1", &log).await;
    assert_eq!(status, 0, "{output}");
    let lines: Vec<&str> = output.lines().collect();
    assert_eq!(lines.len(), 2, "{output}");
    assert!(lines[0].starts_with("6400 ") && lines[0].contains("engine=\"e2\""));
    assert!(lines[1].starts_with("9000 ") && lines[1].contains("cause=\"engine lost\""));
    let (status, _) = run_dandelionctl("127.0.0.1:9", "", "explain r3", &log).await;
    assert_eq!(status, 8);
}
