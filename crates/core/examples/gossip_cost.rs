//! Measures the traffic of gossip per process and the time that a change takes to reach all
//! processes, in a simulated network of each given number of members.
//!
//! `cargo run --release -p dandelionroad-core --example gossip_cost -- 10 100 1000 8000`
//!
//! Sent bytes include the JSON body, the JSON-RPC envelope and the WebSocket header, but not the TCP
//! and IP headers.

#[path = "../tests/gossip_support/mod.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod gossip_support;

use std::time::Instant;

use dandelionroad_core::member::MemberState;
use gossip_support::GossipNetwork;

/// The time over which the traffic without changes is measured, in milliseconds.
const QUIET_MS: u64 = 8_000;

/// The time over which the traffic of one change is measured, in milliseconds.
const CHANGE_MS: u64 = 4_000;

/// The target rate of configuration changes per second: 23,000 a day.
const CHANGES_PER_S: f64 = 23_000.0 / 86_400.0;

/// The target rate of restarts per second: 2,200 restarts and replacements and 160 failures a day.
const RESTARTS_PER_S: f64 = 2_360.0 / 86_400.0;

fn main() {
    let counts = std::env::args().skip(1);
    for count in counts.filter_map(|text| text.parse().ok()) {
        measure(count);
    }
}

fn measure(count: usize) {
    let start = Instant::now();
    let mut network = GossipNetwork::new(count);
    // Each process computes its overlay once, which dominates its creation time.
    let overlay_us = start.elapsed().as_micros() as f64 / count as f64;
    network.counts_bytes = true;
    mean_and_max_sent_bytes(&mut network, 2_000);
    let (quiet, max) = mean_and_max_sent_bytes(&mut network, QUIET_MS);
    let quiet = quiet / (QUIET_MS as f64 / 1_000.0);
    let max = max / (QUIET_MS as f64 / 1_000.0);
    let baseline = quiet * CHANGE_MS as f64 / 1_000.0;

    network.accept_ticket(count / 2);
    let spread_ms = time_until(&mut network, |network| {
        let mut machines = network.nodes.iter().map(|node| &node.machine);
        machines.all(|machine| machine.config().revision == 1)
    });
    let change =
        mean_and_max_sent_bytes(&mut network, CHANGE_MS - spread_ms.min(CHANGE_MS)).0 - baseline;

    let leaver = count / 3;
    let name = network.nodes[leaver].machine.local_record().name.clone();
    network.leave(leaver);
    let leave_ms = time_until(&mut network, |network| {
        let mut machines = network.nodes.iter().map(|node| &node.machine);
        machines.all(|machine| {
            let known = machine.members().get(&name);
            known.is_some_and(|known| known.state == MemberState::Leaving)
        })
    });
    let leave =
        mean_and_max_sent_bytes(&mut network, CHANGE_MS - leave_ms.min(CHANGE_MS)).0 - baseline;

    network.loss_percent = 10;
    network.accept_ticket(count / 2);
    let lossy_ms = time_until(&mut network, |network| {
        let mut machines = network.nodes.iter().map(|node| &node.machine);
        machines.all(|machine| machine.config().revision == 2)
    });
    // A restart changes the member's record three times: leaving or gone, live, model loaded.
    let target = quiet + change * CHANGES_PER_S + 3.0 * leave * RESTARTS_PER_S;
    println!(
        "members {count}: quiet {quiet:.0} B/s (maximum {max:.0}), change {change:.0} B in \
         {spread_ms} ms ({lossy_ms} ms at 10% loss), leave {leave:.0} B in {leave_ms} ms, \
         at the target rates {target:.0} B/s, overlay computed in {overlay_us:.0} us"
    );
}

/// Runs the network for `millis` and returns the mean and the maximum, over all nodes, of the bytes
/// sent since the last call.
fn mean_and_max_sent_bytes(network: &mut GossipNetwork, millis: u64) -> (f64, f64) {
    network.run(millis);
    let bytes = network.nodes.iter().map(|node| node.sent_bytes);
    let (sum, max) = bytes.fold((0, 0), |(sum, max): (u64, u64), bytes| {
        (sum + bytes, max.max(bytes))
    });
    for node in &mut network.nodes {
        node.sent_bytes = 0;
    }
    (sum as f64 / network.nodes.len() as f64, max as f64)
}

/// Runs the network until `check` holds, for at most a minute, and returns the elapsed time in
/// milliseconds.
fn time_until(network: &mut GossipNetwork, check: impl Fn(&GossipNetwork) -> bool) -> u64 {
    let start = network.now;
    while !check(network) && network.now - start < 60_000 {
        network.run(1);
    }
    network.now - start
}
