//! Guards against requests that wait for a slow reader of the log, and against lines that are left out
//! without a word.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use dandelionroad_relay::telemetry::dropped_lines;
use dandelionroad_relay::telemetry::install_log;

/// Set for the process that writes.
const WRITER: &str = "LOG_LINES_WRITER";

/// The lines that are written to an output that nobody reads.
const LINES: u64 = 20_000;

/// The part of the test that runs in a process of its own: writes many lines and tells how many were
/// left out, and how long that took, on the standard error.
#[test]
fn writer_process() {
    if std::env::var_os(WRITER).is_none() {
        return;
    }
    install_log().unwrap();
    let begun = Instant::now();
    for line in 0..LINES {
        spdlog::info!("request: served", kv: { request = line, cause = "nobody reads this" });
    }
    let millis = begun.elapsed().as_millis();
    eprintln!("dropped {} {millis}", dropped_lines());
}

#[test]
fn lines_dropped_and_counted() {
    let mut writer = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "writer_process", "--nocapture"])
        .env(WRITER, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(writer.stderr.take().unwrap()).lines();
    let told = lines.find_map(|line| line.unwrap().strip_prefix("dropped ").map(str::to_owned));
    let told = told.unwrap();
    let mut numbers = told.split(' ').map(|number| number.parse::<u64>().unwrap());
    let (dropped, millis) = (numbers.next().unwrap(), numbers.next().unwrap());
    assert!(dropped > 0 && dropped < LINES, "{dropped}");
    assert!(
        Duration::from_millis(millis) < Duration::from_secs(10),
        "{millis} ms"
    );
    // The reader comes back and finds the lines that were kept.
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
