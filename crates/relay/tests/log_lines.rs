//! Guards against requests that block on a slow reader of the log, and against log lines that are dropped
//! without being counted.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use dandelionroad_relay::telemetry::dropped_lines;
use dandelionroad_relay::telemetry::install_log;

/// The environment variable that makes [`run_as_log_writer`] write.
const WRITER_VARIABLE: &str = "LOG_LINES_WRITER";

/// The number of lines that the child process writes while nobody reads its output.
const LINES: u64 = 20_000;

/// The child process of the test below: writes many lines, and reports on the standard error how many were
/// dropped and how long that took.
#[test]
fn run_as_log_writer() {
    if std::env::var_os(WRITER_VARIABLE).is_none() {
        return;
    }
    install_log().unwrap();
    let start = Instant::now();
    for line in 0..LINES {
        spdlog::info!("request: served", kv: { request = line, cause = "nobody reads this" });
    }
    let millis = start.elapsed().as_millis();
    eprintln!("dropped {} {millis}", dropped_lines());
}

/// The output is a pipe that nobody reads until the child process has written all lines. Without a bounded
/// queue that drops lines, writing blocks when the pipe is full.
#[test]
fn lines_dropped_and_counted() {
    let mut writer = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "run_as_log_writer", "--nocapture"])
        .env(WRITER_VARIABLE, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(writer.stderr.take().unwrap()).lines();
    let report = lines.find_map(|line| line.unwrap().strip_prefix("dropped ").map(str::to_owned));
    let report = report.unwrap();
    let mut numbers = report
        .split(' ')
        .map(|number| number.parse::<u64>().unwrap());
    let (dropped, millis) = (numbers.next().unwrap(), numbers.next().unwrap());
    assert!(dropped > 0 && dropped < LINES, "{dropped}");
    assert!(
        Duration::from_millis(millis) < Duration::from_secs(10),
        "{millis} ms"
    );
    // All lines that were not dropped are still delivered.
    let mut text = String::new();
    writer
        .stdout
        .take()
        .unwrap()
        .read_to_string(&mut text)
        .unwrap();
    assert!(writer.wait().unwrap().success());
    let kept = text
        .lines()
        .filter(|line| line.contains("nobody reads"))
        .count() as u64;
    assert_eq!(kept + dropped, LINES);
}
