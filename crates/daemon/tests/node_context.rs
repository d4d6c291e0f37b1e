//! Guards against a shutdown that is undone by the gossip machine.
//!
//! The machine computes its copy of the local record before the shutdown starts and returns it
//! afterwards, with the state `live`. Merging it must not bring the process back to `live`.

use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberState;
use dandelionroad_daemon::node::NodeClients;
use dandelionroad_daemon::node::NodeHandle;
use dandelionroad_settings::NodeSettings;

#[tokio::test]
async fn merge_local_record_keeps_leaving() {
    let settings = NodeSettings::entry("entry-1");
    let clients = NodeClients::from_settings(&settings);
    let node = NodeHandle::start(settings, clients).await.unwrap();
    let before: MemberRecord = node.context.local_record.borrow().clone();
    node.context.advance_state(MemberState::Leaving);
    let refuted = MemberRecord {
        incarnation: before.incarnation + 1,
        ..before.clone()
    };
    node.context.merge_local_record(&refuted);
    let record = node.context.local_record.borrow().clone();
    assert_eq!(record.state, MemberState::Leaving);
    assert_eq!(record.incarnation, before.incarnation + 1);
    node.context.advance_state(MemberState::Live);
    assert_eq!(
        node.context.local_record.borrow().state,
        MemberState::Leaving
    );
}
