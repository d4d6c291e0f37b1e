use dandelionroad_core::relay::StoreVersion;

use crate::node::NodeState;

/// Records a version that the store or another process has named, and what follows from a new era.
pub(crate) fn observe_version(state: &NodeState, version: StoreVersion) {
    if version == StoreVersion::UNREAD {
        return;
    }
    let now = state.clock.now();
    let is_return = {
        let mut view = state.view.borrow_mut();
        view.start_gate.begin(version, now);
        let is_return = view.era.observe(version, now);
        if is_return {
            view.engines.begin_era(now);
        }
        is_return
    };
    if is_return {
        spdlog::warn!("store: came back from an older copy", kv: {
            era = version.era(),
            version = version.version(),
        });
        state.era_changed.notify_one();
    }
}
