//! The spread of configuration and membership under random faults.

mod gossip_support;
mod seeded;

use dandelionroad_core::member::CrashRecord;
use dandelionroad_core::member::GossipEvent;
use dandelionroad_core::member::GossipMachine;
use dandelionroad_core::member::HostListing;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::time::MilliTime;
use gossip_support::GossipNetwork;
use gossip_support::record;
use seeded::for_each_seed;

const NODES: usize = 9;

/// The number of random scripts, and the greatest number of their steps.
const SCRIPTS: u64 = 300;
const MAX_STEPS: usize = 30;

/// The time in which everything settles after the last fault, in milliseconds.
const SETTLE_MS: u64 = 40_000;

/// The time in which a change is to be in force everywhere, in milliseconds.
const PROMISED_MS: u64 = 6_000;

/// The time by which the host list lags at most, in milliseconds.
const LIST_LAG_MS: u64 = 30_000;

/// A script of faults, and what must hold while it runs.
struct FaultScript {
    network: GossipNetwork,
    revisions: Vec<u64>,
    /// For each node, the nodes that it has seen leaving in their present run.
    seen_leaving: Vec<Vec<usize>>,
    /// A reading of the host list that lags behind, and its time.
    old_list: (u64, Vec<HostListing>),
}

impl FaultScript {
    fn step(&mut self, operation: u8, argument: u8) {
        let index = argument as usize % NODES;
        let network = &mut self.network;
        let node = &mut network.nodes[index];
        let is_active = node.is_running && !node.is_frozen;
        match operation % 11 {
            0 | 1 if is_active && network.is_store_up => network.accept_ticket(index),
            2 => node.is_running = false,
            3 => {
                // Two starts of a process are at least a second apart.
                self.run(1_500);
                self.network.restart(index);
                self.revisions[index] = 0;
                self.seen_leaving[index].clear();
                for seen in &mut self.seen_leaving {
                    seen.retain(|leaving| *leaving != index);
                }
            }
            4 => node.is_frozen = !node.is_frozen,
            5 => node.side ^= 1,
            6 => network.nodes.iter_mut().for_each(|node| node.side = 0),
            7 => network.loss = u64::from(argument % 50),
            8 => network.is_store_up = !network.is_store_up,
            9 if is_active => network.leave(index),
            10 if is_active => {
                let fresh = (network.now, network.host_list());
                let (time, list) = std::mem::replace(&mut self.old_list, fresh);
                if network.now - time < LIST_LAG_MS {
                    network.handle(index, GossipEvent::HostsListed(list));
                }
            }
            _ => {}
        }
        self.run(u64::from(argument) * 20);
    }

    /// Runs the network and checks that no process goes back to an earlier revision, or takes a
    /// leaving process for live again.
    fn run(&mut self, millis: u64) {
        self.network.run(millis);
        for (node, revision) in self.network.nodes.iter().zip(&mut self.revisions) {
            let held = node.machine.config().revision;
            assert!(
                held >= *revision,
                "revision went back from {revision} to {held}"
            );
            *revision = held;
        }
        for (node, seen) in self.network.nodes.iter().zip(&mut self.seen_leaving) {
            for (index, other) in self.network.nodes.iter().enumerate() {
                let own = other.machine.local_record();
                let state = node
                    .machine
                    .members()
                    .get(&own.name)
                    .map(|known| known.state);
                let is_seen = seen.contains(&index);
                let name = &node.machine.local_record().name;
                assert!(
                    !is_seen || state != Some(MemberState::Live),
                    "{} is live again at {name}",
                    own.name
                );
                if other.is_leaving && state == Some(MemberState::Leaving) && !is_seen {
                    seen.push(index);
                }
            }
        }
    }

    fn end_faults(&mut self) {
        let network = &mut self.network;
        network.loss = 0;
        network.is_store_up = true;
        for node in &mut network.nodes {
            node.is_frozen = false;
            node.side = 0;
        }
        self.run(SETTLE_MS);
    }

    /// Checks that all running processes agree with the truth.
    fn check_settled(&self) {
        for node in &self.network.nodes {
            eprintln!(
                "DBG {} run={} rev {} hash {}: {}",
                node.machine.local_record().name,
                node.is_running,
                node.machine.config().revision,
                node.machine.members().root_hash(),
                node.machine
                    .members()
                    .records()
                    .map(|r| format!(
                        "{}:{}:{:?}",
                        &r.name[r.name.len() - 2..],
                        r.incarnation,
                        r.state
                    ))
                    .collect::<Vec<_>>()
                    .join(" ")
            );
        }
        let running = || self.network.nodes.iter().filter(|node| node.is_running);
        for node in running() {
            let name = &node.machine.local_record().name;
            assert_eq!(*node.machine.config(), self.network.store, "{name}");
            for other in &self.network.nodes {
                let own = other.machine.local_record();
                let known = node.machine.members().get(&own.name);
                if other.is_running {
                    assert_eq!(known, Some(own), "seen by {name}");
                    let is_live = own.state == MemberState::Live;
                    assert_eq!(is_live, !other.is_leaving, "{}", own.name);
                } else if let Some(known) = known {
                    assert_eq!(known.state, MemberState::Gone, "{} at {name}", own.name);
                }
            }
        }
    }
}

/// Guards against configurations that revert, never arrive, or differ, and against members that
/// stay unknown or are taken for live or gone, after any sequence of faults.
#[test]
fn gossip_settles_after_faults() {
    for_each_seed(SCRIPTS, |script: &Vec<(u8, u8)>| {
        let mut faults = FaultScript {
            network: GossipNetwork::new(NODES),
            revisions: vec![0; NODES],
            seen_leaving: vec![Vec::new(); NODES],
            old_list: (0, Vec::new()),
        };
        for (operation, argument) in script.iter().take(MAX_STEPS) {
            faults.step(*operation, *argument);
        }
        faults.end_faults();
        faults.check_settled();
    });
}

/// Guards against a change that needs more than the few seconds that the callers are promised, on
/// links that lose every fifth message, and against one that needs the table service.
#[test]
fn gossip_spreads_in_seconds() {
    for_each_seed(100, |(acceptor, leaver): &(u8, u8)| {
        let mut network = GossipNetwork::new(40);
        network.loss = 20;
        network.run(2_000);
        let acceptor = *acceptor as usize % 40;
        network.accept_ticket(acceptor);
        network.is_store_up = false;
        let crash = CrashRecord {
            fingerprint: "f".to_owned(),
            version: 1,
            count: 2,
        };
        network.handle(acceptor, GossipEvent::CrashCounted(crash));
        let leaver = 1 + *leaver as usize % 38;
        network.leave(leaver);
        let mut list = network.host_list();
        list[leaver + 1].leaving = true;
        network.handle(0, GossipEvent::HostsListed(list));
        network.run(PROMISED_MS);
        let names = [leaver, leaver + 1].map(|index| record(index, 0).name);
        for node in &network.nodes {
            let machine = &node.machine;
            let own = &machine.local_record().name;
            assert_eq!(machine.config().revision, 1, "{own}");
            assert_eq!(machine.crashes().count("f"), 2, "{own}");
            for name in &names {
                let known = machine.members().get(name).map(|known| known.state);
                assert_eq!(known, Some(MemberState::Leaving), "{name} at {own}");
            }
        }
    });
}

/// Guards against a resumed process that contends for its name with the one that replaced it, and
/// against a new process that yields to the record of a dead one whose clock was ahead.
#[test]
fn gossip_yields_to_replacement() {
    let now = MilliTime::from_millis(200_000);
    let mut paused = GossipMachine::new(record(1, 100_000));
    let replacement = MemberRecord {
        address: "10.9.9.9:7000".to_owned(),
        ..record(1, 195_000)
    };
    let mut new = GossipMachine::new(replacement.clone());
    let (reply, _) = paused.answer(now, &new.announcement());
    let (reply, _) = new.answer(now, &reply);
    paused.answer(now, &reply);
    assert_eq!(paused.local_record().state, MemberState::Leaving);
    assert_eq!(paused.members().get(&replacement.name), Some(&replacement));
    assert_eq!(new.local_record(), &replacement);

    let dead = GossipMachine::new(record(1, 999_000));
    new.answer(now, &dead.announcement());
    assert_eq!(
        (new.local_record().state, new.local_record().incarnation),
        (MemberState::Live, 999_001)
    );
}

/// Guards against a process that takes its probed members for gone because it was paused itself.
#[test]
fn gossip_forgets_misses_after_pause() {
    let mut network = GossipNetwork::new(9);
    network.run(1_500);
    let paused = &mut network.nodes[3].machine;
    let time = |millis| MilliTime::from_millis(network.now + millis);
    paused.handle(time(0), GossipEvent::Tick);
    let names: Vec<String> = paused
        .members()
        .records()
        .map(|known| known.name.clone())
        .collect();
    for name in names.iter().cycle().take(3 * names.len()) {
        let name = name.clone();
        paused.handle(time(0), GossipEvent::ProbeMissed { name });
    }
    // The first message after the pause is no sign that the others have had time to answer.
    let message = network.nodes[4].machine.announcement();
    let paused = &mut network.nodes[3].machine;
    paused.answer(time(60_000), &message);
    paused.handle(time(60_000), GossipEvent::Tick);
    assert!(
        paused
            .members()
            .records()
            .all(|known| known.state == MemberState::Live)
    );
}
