//! Rollouts of a model version with random interleavings and faults.
//!
//! Guards against two endpoints that unload at the same time because each counts the other one as
//! ready, against unloading an engine while it runs requests, and against a rollout that never
//! ends.

mod seeded;

use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::ident::PoolName;
use dandelionroad_core::order::EngineView;
use dandelionroad_core::order::FenceNumber;
use dandelionroad_core::order::LeaveVerdict;
use dandelionroad_core::order::LoadTarget;
use dandelionroad_core::order::OrderAction;
use dandelionroad_core::order::OrderConfig;
use dandelionroad_core::order::OrderEvent;
use dandelionroad_core::order::OrderMachine;
use dandelionroad_core::order::ReadyEntry;
use dandelionroad_core::order::ReadyRow;
use dandelionroad_core::order::TurnRow;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;

use self::seeded::for_each_seed;

const ENDPOINTS: usize = 5;
const MIN_READY: u32 = 4;
const LAYERS: u16 = 12;
const SCRIPT_COUNT: u64 = 1_000;
const TURN_LEASE_MS: u64 = 5_000;

struct SimEndpoint {
    name: EndpointName,
    range: LayerRange,
    machine: OrderMachine,
    engine: EngineView,
    load_ticks: u8,
    running: u8,
    /// The pending actions, oldest first.
    pending: Vec<OrderAction>,
}

#[derive(Default)]
struct Store {
    ready: ReadyRow,
    turn: Option<TurnRow>,
}

fn target(version: u32, range: LayerRange) -> LoadTarget {
    LoadTarget {
        pool: PoolName::parse("drafts").unwrap(),
        model: ModelName::parse("care").unwrap(),
        version,
        weights: format!("care/{version}"),
        range,
        layers: LAYERS,
        min_ready: MIN_READY,
    }
}

fn new_endpoint(index: usize) -> SimEndpoint {
    let range = if index.is_multiple_of(2) {
        LayerRange::new(0, 8)
    } else {
        LayerRange::new(4, 12)
    };
    let engine = EngineView {
        model: "care".into(),
        version: 1,
        range,
        ready: true,
    };
    let mut machine = OrderMachine::new(OrderConfig::default());
    let now = MilliTime::from_millis(0);
    let pending = machine.on_event(OrderEvent::TargetSet(Some(target(1, range))), now);
    let name = EndpointName::parse(&format!("endpoint-{index}")).unwrap();
    SimEndpoint {
        name,
        range,
        machine,
        engine,
        load_ticks: 0,
        running: 0,
        pending,
    }
}

impl SimEndpoint {
    /// Carries out the oldest pending action. With a `fault` the store or the engine fails; if it
    /// is odd, the action takes effect and only the answer is lost.
    fn run_action(&mut self, store: &mut Store, fault: Option<u8>, now: MilliTime) {
        if self.pending.is_empty() {
            return;
        }
        let has_effect = fault.is_none_or(|fault| fault % 2 == 1);
        let is_lost = fault.is_some();
        let event = match self.pending.remove(0) {
            OrderAction::ReadEngine => Some(OrderEvent::EngineRead(
                (!is_lost).then(|| self.engine.clone()),
            )),
            OrderAction::LeaveReady { target, forced } => {
                let verdict = has_effect.then(|| store.ready.leave(&self.name, &target, forced));
                Some(OrderEvent::LeaveDecided(if is_lost {
                    None
                } else {
                    verdict
                }))
            }
            OrderAction::StopServing if self.running == 0 => Some(OrderEvent::Drained),
            OrderAction::StopServing => {
                self.running -= 1;
                self.pending.insert(0, OrderAction::StopServing);
                None
            }
            OrderAction::TakeTurn => {
                let row =
                    TurnRow::take(store.turn.as_ref(), self.name.as_str(), now, TURN_LEASE_MS);
                let taken = row.is_some();
                if has_effect && taken {
                    store.turn = row;
                }
                Some(OrderEvent::TurnDecided((!is_lost).then_some(taken)))
            }
            OrderAction::OrderLoad(target) => {
                if has_effect {
                    assert_eq!(
                        self.running, 0,
                        "an engine was unloaded while it ran requests"
                    );
                    let version = target.version;
                    self.engine = EngineView {
                        version,
                        ready: false,
                        ..self.engine.clone()
                    };
                    self.load_ticks = 3;
                }
                Some(OrderEvent::OrderAnswered(!is_lost))
            }
            OrderAction::ReleaseTurn => {
                store.turn = None;
                None
            }
            OrderAction::StartServing(_) => None,
            OrderAction::JoinReady(target) => {
                let version = target.version;
                let entry = ReadyEntry {
                    name: self.name.clone(),
                    version,
                    range: self.range,
                };
                if has_effect {
                    store.ready.join(&entry);
                }
                Some(OrderEvent::JoinAnswered(!is_lost))
            }
        };
        if let Some(event) = event {
            self.pending.extend(self.machine.on_event(event, now));
        }
    }

    fn tick(&mut self, now: MilliTime) {
        if self.load_ticks > 0 {
            self.load_ticks -= 1;
            self.engine.ready = self.load_ticks == 0;
        }
        if self.pending.is_empty() {
            self.pending = self.machine.on_event(OrderEvent::Tick, now);
        }
    }
}

fn ready_engines(endpoints: &[SimEndpoint]) -> usize {
    endpoints
        .iter()
        .filter(|endpoint| endpoint.engine.ready)
        .count()
}

#[test]
fn rollout_keeps_minimum_ready() {
    for_each_seed(SCRIPT_COUNT, |script: &Vec<(u8, u8)>| {
        let mut store = Store::default();
        let mut endpoints: Vec<SimEndpoint> = (0..ENDPOINTS).map(new_endpoint).collect();
        let mut now = MilliTime::from_millis(0);
        // Every endpoint joins the row before the rollout starts.
        for endpoint in &mut endpoints {
            while !endpoint.pending.is_empty() {
                endpoint.run_action(&mut store, None, now);
            }
        }
        assert_eq!(store.ready.entries().len(), ENDPOINTS);
        for endpoint in &mut endpoints {
            let target = Some(target(2, endpoint.range));
            endpoint.pending = endpoint
                .machine
                .on_event(OrderEvent::TargetSet(target), now);
        }
        for (choice, fault) in script {
            let endpoint = &mut endpoints[usize::from(*choice) % ENDPOINTS];
            match choice / 64 {
                0 if endpoint.machine.is_serving() => {
                    endpoint.running = endpoint.running.saturating_add(1)
                }
                0 | 1 => endpoint.run_action(&mut store, Some(*fault), now),
                2 => endpoint.run_action(&mut store, None, now),
                _ => {
                    now = now.plus(300);
                    endpoints.iter_mut().for_each(|endpoint| endpoint.tick(now));
                }
            }
            assert!(
                ready_engines(&endpoints) >= MIN_READY as usize,
                "the pool has fewer ready engines than its minimum"
            );
        }
        // Without further faults the rollout completes.
        for _ in 0..2_000 {
            now = now.plus(300);
            for endpoint in &mut endpoints {
                endpoint.tick(now);
                endpoint.run_action(&mut store, None, now);
            }
            assert!(
                ready_engines(&endpoints) >= MIN_READY as usize,
                "the pool has fewer ready engines than its minimum"
            );
        }
        assert!(
            endpoints
                .iter()
                .all(|endpoint| endpoint.engine.version == 2 && endpoint.engine.ready)
        );
        assert_eq!(store.ready.entries().len(), ENDPOINTS);
    });
}

/// Guards against an endpoint that leaves although it alone holds some layers, so that the pool no
/// longer covers the model.
#[test]
fn leave_keeps_layers_covered() {
    let mut row = ReadyRow::new();
    let ranges = [
        LayerRange::new(0, 8),
        LayerRange::new(4, 12),
        LayerRange::new(0, 8),
    ];
    for (index, range) in ranges.into_iter().enumerate() {
        let name = EndpointName::parse(&format!("endpoint-{index}")).unwrap();
        row.join(&ReadyEntry {
            name,
            version: 1,
            range,
        });
    }
    let target = LoadTarget {
        min_ready: 1,
        ..target(2, ranges[1])
    };
    let only_holder = EndpointName::parse("endpoint-1").unwrap();
    assert_eq!(
        row.leave(&only_holder, &target, false),
        LeaveVerdict::Denied
    );
    let redundant = EndpointName::parse("endpoint-2").unwrap();
    assert_eq!(row.leave(&redundant, &target, false), LeaveVerdict::Granted);
    assert_eq!(
        row.leave(&only_holder, &target, true),
        LeaveVerdict::Granted
    );
}

/// Guards against a fencing token that does not exceed that of an earlier start, if the store was
/// unavailable or the clock was set back.
#[test]
fn fence_rises_without_store() {
    let first = FenceNumber::next(None, MilliTime::from_millis(1_000));
    let second = FenceNumber::next(Some(first), MilliTime::from_millis(900));
    let third = FenceNumber::next(None, MilliTime::from_millis(2_000));
    assert!(first < second && second < third);
}
