use std::rc::Rc;

use crate::node::NodeState;

/// Avoids engines whose answers were ended because they took the most memory, until the process ends.
pub async fn avoid_floods(state: Rc<NodeState>) {
    loop {
        for address in state.memory.take_ended_servers().await {
            let now = state.clock.now();
            let mut view = state.view.borrow_mut();
            let entry = view.engines.at_address(&address.to_string());
            let Some(id) = entry.map(|entry| entry.record.id.clone()) else {
                spdlog::warn!("node: answers of {address} dropped: they take the most memory");
                continue;
            };
            if view
                .engines
                .get(&id)
                .is_some_and(|entry| entry.marks.avoided_until() > now)
            {
                continue;
            }
            view.engines.record_failure(&id, now);
            spdlog::warn!("engines: avoided: its answers take the most memory", kv: {
                engine = id.as_str(),
            });
        }
    }
}
