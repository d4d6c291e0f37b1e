use std::collections::BTreeMap;

use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::stream::CacheExport;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StageAction;
use dandelionroad_core::stream::StageLimits;
use dandelionroad_core::stream::StageMachine;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_core::time::MilliTime;

use super::sim_engine::SimSession;

pub(crate) const STEP_DEADLINE_MS: u64 = 500;

/// An endpoint process with its engine.
pub(crate) struct SimStage {
    pub(crate) name: EndpointName,
    pub(crate) range: LayerRange,
    pub(crate) is_alive: bool,
    pub(crate) is_frozen: bool,
    pub(crate) machine: Option<StageMachine>,
    /// The newest attempt of the request when it was removed.
    pub(crate) removed_attempt: Option<u32>,
    /// The attempt of the open subscription.
    pub(crate) subscription: Option<u32>,
    pub(crate) sessions: BTreeMap<String, SimSession>,
    /// The tokens of the inputs by position, for cache exports.
    pub(crate) tokens: Vec<String>,
}

impl SimStage {
    pub(crate) fn new(index: usize, range: LayerRange) -> SimStage {
        SimStage {
            name: EndpointName::parse(&format!("stage-{index}")).unwrap(),
            range,
            is_alive: true,
            is_frozen: false,
            machine: None,
            removed_attempt: None,
            subscription: None,
            sessions: BTreeMap::new(),
            tokens: Vec::new(),
        }
    }

    /// Loses all state, as when the process is killed.
    pub(crate) fn clear(&mut self) {
        self.machine = None;
        self.removed_attempt = None;
        self.subscription = None;
        self.sessions.clear();
        self.tokens.clear();
    }

    pub(crate) fn open(
        &mut self,
        order: StreamOrder,
        stage: usize,
        now: MilliTime,
    ) -> Vec<StageAction> {
        let limits = StageLimits {
            step_deadline_ms: STEP_DEADLINE_MS,
            is_whole_model: false,
        };
        let opened = StageMachine::open(&self.name, limits, order, stage, now);
        let (machine, actions) = opened.expect("the route assigns the stage to this endpoint");
        self.machine = Some(machine);
        self.tokens.clear();
        actions
    }

    /// Returns the description of the current session's cache, with the cache itself.
    pub(crate) fn export(&self) -> Option<(CacheExport, SimSession)> {
        let machine = self.machine.as_ref()?;
        let session = self.sessions.get(machine.session())?;
        let count = session.inputs.len();
        let order = machine.order();
        let export = CacheExport {
            model: order.model.clone(),
            version: order.version,
            range: order
                .route
                .stages
                .iter()
                .find(|s| s.endpoint == self.name)?
                .range,
            tokens: self.tokens.get(1..count)?.to_vec(),
            inputs: session.inputs.clone(),
            outputs: session.outputs.clone(),
            end: session.end,
        };
        Some((export, session.clone()))
    }
}
