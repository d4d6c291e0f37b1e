//! The task that owns the gossip machine.
//!
//! It is the only writer of configuration, members and crash counts, so that readers see the
//! changes in one order. It feeds ticks, messages of peers and local changes to the machine and
//! executes the resulting actions; calls to peers run in tasks of their own, so that a slow peer
//! delays nothing.

use std::sync::Arc;
use std::time::Duration;

use dandelionroad_core::member::GossipAction;
use dandelionroad_core::member::GossipEvent;
use dandelionroad_core::member::GossipMachine;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::node::NodeContext;

use super::control_event::ControlEvent;
use super::peer_calls;

/// The time between two ticks of the gossip machine, in milliseconds.
const TICK_MS: u64 = 1_000;

/// Runs the gossip machine until the process stops.
pub(super) async fn run(context: Arc<NodeContext>, mut events: mpsc::Receiver<ControlEvent>) {
    let record = context.local_record.borrow().clone();
    let mut machine = GossipMachine::new(record);
    machine.set_seeds(context.settings.seeds.clone());
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut record_changes = context.local_record.subscribe();
    loop {
        let event = tokio::select! {
            _ = ticks.tick() => GossipEvent::Tick,
            Ok(()) = record_changes.changed() => {
                let record = record_changes.borrow_and_update().clone();
                GossipEvent::LocalRecordChanged(Box::new(record))
            }
            event = events.recv() => match event {
                Some(ControlEvent::Gossip(event)) => event,
                Some(ControlEvent::Request { message, reply }) => {
                    let (answer, actions) = machine.answer(context.clock.now(), &message);
                    // Fails only if the connection of the peer has closed.
                    let _ = reply.send(answer);
                    execute(&context, &machine, actions);
                    continue;
                }
                None => return,
            },
        };
        let actions = machine.handle(context.clock.now(), event);
        execute(&context, &machine, actions);
    }
}

fn execute(context: &Arc<NodeContext>, machine: &GossipMachine, actions: Vec<GossipAction>) {
    for action in actions {
        match action {
            GossipAction::Send { address, message } => {
                let context = context.clone();
                tokio::spawn(
                    async move { peer_calls::exchange(&context, address, *message).await },
                );
            }
            GossipAction::Probe { name, address } => {
                let context = context.clone();
                tokio::spawn(async move { peer_calls::probe(&context, name, address).await });
            }
            GossipAction::ConfigChanged => {
                context.config.send_replace(machine.config().clone());
            }
            GossipAction::MembersChanged => {
                context
                    .members
                    .send_replace(Arc::new(machine.members().clone()));
            }
            GossipAction::CrashesChanged => {
                context
                    .crashes
                    .send_replace(Arc::new(machine.crashes().clone()));
            }
            GossipAction::LocalRecordChanged => {
                context.merge_local_record(machine.local_record());
            }
        }
    }
}
