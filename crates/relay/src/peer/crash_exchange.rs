//! The exchange of engine crashes, and of the requests and prompt parts that may have caused them.

use std::net::SocketAddr;
use std::time::Duration;

use dandelionroad_core::relay::EngineCrash;
use dandelionroad_core::relay::PartReport;
use dandelionroad_core::relay::RunPhase;
use dandelionroad_core::time::MilliTime;
use tokio::net::UdpSocket;

use crate::crash_report::publish_part_changes;
use crate::node::NodeState;

use super::PeerDatagram;
use super::peer_task::send_to_all;

/// The interval at which crashes are sent again, in milliseconds.
///
/// Callers retry a failed request after some hundred milliseconds or more. The first message is sent at
/// once; the repetitions make up for lost ones.
const CRASH_INTERVAL_MS: u64 = 1_000;

/// The maximum number of crashes that are sent at once, in one datagram below 2 KB.
///
/// With more, the reports of several lost engines take a large part of the processor time of a hundred processes.
const MAX_CRASHES_AT_ONCE: usize = 16;

/// The interval at which refused prompt parts are sent again, in milliseconds.
///
/// A process that has just started must know them before it takes many requests.
const PART_INTERVAL_MS: u64 = 2_000;

/// The maximum number of prompt parts in a datagram, which keeps it below 2 KB.
const MAX_PARTS_PER_DATAGRAM: usize = 6;

/// Sends engine crashes, the fingerprints that were cleared and suspected prompt parts to the other processes.
///
/// A change is sent at once; crashes are sent again at an interval while they are recent, and refused parts for
/// as long as they are. They go to the targets of one round, which send on crashes and the parts that they refuse.
pub(super) async fn send_crashes(state: &NodeState, socket: &UdpSocket) {
    let mut repeated_at = MilliTime::default();
    for round in 0_u64.. {
        let pause = Duration::from_millis(CRASH_INTERVAL_MS);
        let _ = tokio::time::timeout(pause, state.crashes_changed.notified()).await;
        let cleared = state.cleared_fingerprints.take();
        if !cleared.is_empty() {
            let addresses = state.peers.borrow().addresses();
            send_to_all(socket, addresses, &PeerDatagram::Served(cleared)).await;
        }
        let now = state.clock.now();
        let (crashes, late) = {
            let mut view = state.view.borrow_mut();
            let crashes = &mut view.crashes;
            crashes.expire(now);
            let late = crashes.take_late_reports(MAX_CRASHES_AT_ONCE, now);
            (crashes.take_reports(MAX_CRASHES_AT_ONCE, now), late)
        };
        if !crashes.is_empty() {
            let targets = state.peers.borrow().round_targets(round, now);
            send_to_all(socket, targets, &PeerDatagram::Crashes(crashes)).await;
        }
        if !late.is_empty() {
            let targets = state.peers.borrow().round_targets(round, now);
            send_to_all(socket, targets, &PeerDatagram::LateLosses(late)).await;
        }
        let is_repeat = now.since(repeated_at) >= PART_INTERVAL_MS;
        if is_repeat {
            repeated_at = now;
        }
        let reports = {
            let mut view = state.view.borrow_mut();
            view.crashes.parts_mut().take_reports(is_repeat, now)
        };
        for reports in reports.chunks(MAX_PARTS_PER_DATAGRAM) {
            let targets = state.peers.borrow().round_targets(round, now);
            let message = PeerDatagram::Parts(reports.to_vec());
            send_to_all(socket, targets, &message).await;
        }
    }
}

pub(super) fn merge_crashes(state: &NodeState, crashes: &[EngineCrash], phase: RunPhase) {
    let now = state.clock.now();
    let mut view = state.view.borrow_mut();
    for crash in crashes {
        let is_new = match phase {
            RunPhase::Starting => view.crashes.merge(crash, now),
            RunPhase::Established => view.crashes.merge_late(crash, now),
        };
        if is_new {
            state.crashes_changed.notify_one();
            spdlog::info!("request: may have crashed an engine, as another process reports", kv: {
                engine = crash.engine.as_str(),
                fingerprint = crash.fingerprint.as_str(),
            });
        }
    }
}

pub(super) fn clear_served(state: &NodeState, fingerprints: &[String]) {
    let now = state.clock.now();
    let mut view = state.view.borrow_mut();
    for fingerprint in fingerprints {
        if view.crashes.clear_request(fingerprint, now) {
            spdlog::info!("request: served by another process, no longer suspected of crashing engines", kv: {
                fingerprint = fingerprint.as_str(),
            });
        }
    }
}

/// Adds what another process reports about prompt parts, and tells it what it lacks.
pub(super) async fn answer_parts(
    state: &NodeState,
    socket: &UdpSocket,
    address: SocketAddr,
    reports: &[PartReport],
) {
    let now = state.clock.now();
    let answers: Vec<PartReport> = {
        let mut view = state.view.borrow_mut();
        let parts = view.crashes.parts_mut();
        let answers = reports.iter().filter_map(|report| parts.merge(report, now));
        answers.collect()
    };
    publish_part_changes(state);
    for answers in answers.chunks(MAX_PARTS_PER_DATAGRAM) {
        let message = PeerDatagram::Parts(answers.to_vec());
        send_to_all(socket, vec![address], &message).await;
    }
}
