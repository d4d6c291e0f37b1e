//! Measures the peak memory of a relay process against the number of callers of a plain service, whose only endpoint
//! is sound or answers without end.
//!
//! `cargo run --release -p dandelionroad-relay --example memory_peak -- [MEMORY_MB [CALLERS...]]` prints a table. Each
//! row is a process of its own, started by this program, which runs the store, the engines and the callers. A row
//! without a budget needs 8 MiB for each caller.

#[path = "../tests/relay_support/mod.rs"]
mod relay_support;

use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use dandelionroad_relay::node::RelayBounds;
use dandelionroad_relay::node::RelaySettings;
use dandelionroad_relay::node::RunningNode;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::task::JoinSet;

use crate::relay_support::World;
use crate::relay_support::raw_engine::RawAnswer;
use crate::relay_support::raw_engine::RawEngine;
use crate::relay_support::run;
use crate::relay_support::test_wire::PLAIN_SERVICE;
use crate::relay_support::test_wire::TestWire;
use crate::relay_support::wait_for;

/// The argument that starts a relay process, before the address of its store and its memory in MB.
const NODE_ROLE: &str = "node";

const DEFAULT_MEMORY_MB: usize = 160;

const DEFAULT_CALLERS: [usize; 4] = [1, 10, 100, 1_000];

/// The time for which callers send requests, one after the other.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// The pause between two writes to a caller is a millisecond for each of this many callers.
const CALLERS_PER_MS: u64 = 10;

/// The size of one write of the flooding endpoint, in bytes.
const WRITE_BYTES: usize = 64 * 1_024;

/// The results of one process.
#[derive(Default)]
struct LoadTally {
    served: Cell<u32>,
    failed: Cell<u32>,
    /// The requests of one other caller, to a sound engine of a model.
    others_served: Cell<u32>,
    others_failed: Cell<u32>,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().map(String::as_str) == Some(NODE_ROLE) {
        let store = arguments[1].parse().expect("an address");
        run(run_node(store, arguments[2].parse().expect("a number")));
        return;
    }
    let mut numbers = arguments.iter().map(|text| text.parse().expect("a number"));
    let memory_mb: usize = numbers.next().unwrap_or(DEFAULT_MEMORY_MB);
    let mut callers: Vec<usize> = numbers.collect();
    if callers.is_empty() {
        callers = DEFAULT_CALLERS.to_vec();
    }
    println!("memory granted: {memory_mb} MB");
    println!("| callers | endpoint | peak, MB | served | failed | others served | others failed |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for count in callers {
        for is_flooding in [false, true] {
            run(measure(memory_mb, count, is_flooding));
        }
    }
}

/// Runs a relay process until its input ends, after it has printed its addresses.
async fn run_node(store: SocketAddr, memory_mb: usize) {
    let free: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let settings = RelaySettings {
        name: "n1".to_owned(),
        zone: "a".to_owned(),
        capacity: 1_000,
        caller_address: free,
        readiness_address: free,
        peer_address: free,
        metrics_address: free,
        store_address: store,
        bounds: RelayBounds {
            key_age_ms: 5_000,
            list_interval_ms: 100,
            retry_percent: 20,
            retry_slack: 100,
            grace_ms: 8_000,
            memory_bytes: memory_mb * 1_000_000,
        },
    };
    let node = RunningNode::start(settings, Box::new(TestWire)).await;
    let node = node.expect("the addresses are free");
    let settings = node.settings();
    let mut output = std::io::stdout();
    writeln!(
        output,
        "{} {}",
        settings.caller_address, settings.readiness_address
    )
    .expect("the parent reads");
    let mut line = String::new();
    let _ = BufReader::new(tokio::io::stdin())
        .read_line(&mut line)
        .await;
}

/// Starts a relay process, loads it, and prints a row of the table.
async fn measure(memory_mb: usize, count: usize, is_flooding: bool) {
    let world = World::start().await;
    let _sound = world.start_engine("e1", (0, 40)).await;
    let _flooding;
    let _endpoint;
    match is_flooding {
        true => {
            _flooding = RawEngine::start(
                &world.store,
                "p1",
                PLAIN_SERVICE,
                (0, 0),
                endless_answer(count),
            )
            .await;
        }
        false => _endpoint = world.start_endpoint("p1").await,
    }
    let mut child = start_process(&world, memory_mb);
    let (callers, readiness) = read_addresses(&mut child).await;
    wait_for("the process is ready", async || {
        world.get(readiness, "/", &[]).await.status == 200
    })
    .await;
    let tally = LoadTally::default();
    let end = Instant::now() + LOAD_TIME;
    let load = send_load(&world, callers, count, end, &tally);
    let others = send_others(&world, callers, end, &tally);
    tokio::join!(load, others);
    let peak_mb = peak_kib(child.id()) as f64 * 1_024.0 / 1e6;
    let endpoint = if is_flooding {
        "endless answers"
    } else {
        "sound"
    };
    println!(
        "| {count} | {endpoint} | {peak_mb:.0} | {} | {} | {} | {} |",
        tally.served.get(),
        tally.failed.get(),
        tally.others_served.get(),
        tally.others_failed.get(),
    );
    drop(child.stdin.take());
    let _ = child.wait();
}

/// Returns an answer that is written at the same rate to all callers together, whatever their number.
fn endless_answer(count: usize) -> RawAnswer {
    let data = "x".repeat(WRITE_BYTES);
    let head =
        "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: p\r\ntransfer-encoding: chunked\r\n\r\n";
    RawAnswer {
        start: head,
        filler: format!("{WRITE_BYTES:x}\r\n{data}\r\n").leak(),
        pause: Duration::from_millis(count as u64 / CALLERS_PER_MS + 1),
    }
}

/// Starts a relay process.
fn start_process(world: &World, memory_mb: usize) -> Child {
    let program = std::env::current_exe().expect("the program's path");
    let store = world.store_address().to_string();
    std::process::Command::new(program)
        .args([NODE_ROLE, &store, &memory_mb.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the process starts")
}

/// Returns the addresses of a process for callers and for readiness checks, and reads its log from then on.
async fn read_addresses(child: &mut Child) -> (SocketAddr, SocketAddr) {
    let output = child.stdout.take().expect("the output is piped");
    let output = tokio::process::ChildStdout::from_std(output).expect("a pipe");
    let mut lines = BufReader::new(output).lines();
    loop {
        let line = lines.next_line().await.expect("the output is readable");
        let line = line.expect("the process prints its addresses");
        // The log goes to the same output.
        if let Some((callers, readiness)) = line.split_once(' ')
            && let (Ok(callers), Ok(readiness)) = (callers.parse(), readiness.parse())
        {
            tokio::task::spawn_local(
                async move { while let Ok(Some(_)) = lines.next_line().await {} },
            );
            return (callers, readiness);
        }
    }
}

/// Sends requests from `count` callers at a time until `end`.
async fn send_load(
    world: &World,
    address: SocketAddr,
    count: usize,
    end: Instant,
    tally: &LoadTally,
) {
    let mut calls = JoinSet::new();
    for number in 0..count {
        calls.spawn_local(world.send_to(address, "/any/stock", &format!("c{number}")));
    }
    let mut number = count;
    while let Some(status) = calls.join_next().await {
        let counter = match status {
            Ok(200) => &tally.served,
            _ => &tally.failed,
        };
        counter.set(counter.get() + 1);
        if Instant::now() < end {
            number += 1;
            calls.spawn_local(world.send_to(address, "/any/stock", &format!("c{number}")));
        }
    }
}

/// Sends requests of another caller to the sound engine, one after the other, until `end`.
async fn send_others(world: &World, address: SocketAddr, end: Instant, tally: &LoadTally) {
    let mut number = 0;
    while Instant::now() < end {
        let status = world
            .send_to(address, "/model/a", &format!("o{number}"))
            .await;
        let counter = match status {
            200 => &tally.others_served,
            _ => &tally.others_failed,
        };
        counter.set(counter.get() + 1);
        number += 1;
    }
}

/// Returns the peak memory of a process, in KiB.
fn peak_kib(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.expect("a value").parse().expect("a number")
}
