//! Rollouts of a model version over random interleavings and faults.
//!
//! Guards against two endpoints that unload at the same time because each counts the other one as
//! ready, against an unload while requests run, and against a rollout that never ends.

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
const SCRIPTS: u64 = 1_000;
const TURN_LEASE_MS: u64 = 5_000;

struct Site {
    name: EndpointName,
    range: LayerRange,
    machine: OrderMachine,
    engine: EngineView,
    load_left: u8,
    running: u8,
    /// Actions that wait to be carried out, oldest first.
    waiting: Vec<OrderAction>,
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

fn new_site(index: usize) -> Site {
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
    let waiting = machine.on_event(OrderEvent::TargetSet(Some(target(1, range))), now);
    let name = EndpointName::parse(&format!("site-{index}")).unwrap();
    Site {
        name,
        range,
        machine,
        engine,
        load_left: 0,
        running: 0,
        waiting,
    }
}

impl Site {
    /// Carries out the oldest waiting action. `fault` makes the store or the engine fail;
    /// an odd one lets the effect happen and loses the answer.
    fn act(&mut self, store: &mut Store, fault: Option<u8>, now: MilliTime) {
        if self.waiting.is_empty() {
            return;
        }
        let has_effect = fault.is_none_or(|fault| fault % 2 == 1);
        let is_lost = fault.is_some();
        let event = match self.waiting.remove(0) {
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
                self.waiting.insert(0, OrderAction::StopServing);
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
                    assert_eq!(self.running, 0, "unloaded an engine that runs requests");
                    let version = target.version;
                    self.engine = EngineView {
                        version,
                        ready: false,
                        ..self.engine.clone()
                    };
                    self.load_left = 3;
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
            self.waiting.extend(self.machine.on_event(event, now));
        }
    }

    fn tick(&mut self, now: MilliTime) {
        if self.load_left > 0 {
            self.load_left -= 1;
            self.engine.ready = self.load_left == 0;
        }
        if self.waiting.is_empty() {
            self.waiting = self.machine.on_event(OrderEvent::Tick, now);
        }
    }
}

fn ready_engines(sites: &[Site]) -> usize {
    sites.iter().filter(|site| site.engine.ready).count()
}

#[test]
fn rollout_keeps_minimum_ready() {
    for_each_seed(SCRIPTS, |script: &Vec<(u8, u8)>| {
        let mut store = Store::default();
        let mut sites: Vec<Site> = (0..ENDPOINTS).map(new_site).collect();
        let mut now = MilliTime::from_millis(0);
        // Every endpoint enters the row before the rollout starts.
        for site in &mut sites {
            while !site.waiting.is_empty() {
                site.act(&mut store, None, now);
            }
        }
        assert_eq!(store.ready.entries().len(), ENDPOINTS);
        for site in &mut sites {
            let wanted = Some(target(2, site.range));
            site.waiting = site.machine.on_event(OrderEvent::TargetSet(wanted), now);
        }
        for (choice, fault) in script {
            let site = &mut sites[usize::from(*choice) % ENDPOINTS];
            match choice / 64 {
                0 if site.machine.is_serving() => site.running = site.running.saturating_add(1),
                0 | 1 => site.act(&mut store, Some(*fault), now),
                2 => site.act(&mut store, None, now),
                _ => {
                    now = now.plus(300);
                    sites.iter_mut().for_each(|site| site.tick(now));
                }
            }
            assert!(
                ready_engines(&sites) >= MIN_READY as usize,
                "the pool fell below its minimum"
            );
        }
        // Without further faults the rollout completes.
        for _ in 0..2_000 {
            now = now.plus(300);
            for site in &mut sites {
                site.tick(now);
                site.act(&mut store, None, now);
            }
            assert!(
                ready_engines(&sites) >= MIN_READY as usize,
                "the pool fell below its minimum"
            );
        }
        assert!(
            sites
                .iter()
                .all(|site| site.engine.version == 2 && site.engine.ready)
        );
        assert_eq!(store.ready.entries().len(), ENDPOINTS);
    });
}

#[test]
fn leave_keeps_layers_covered() {
    let mut row = ReadyRow::new();
    let ranges = [
        LayerRange::new(0, 8),
        LayerRange::new(4, 12),
        LayerRange::new(0, 8),
    ];
    for (index, range) in ranges.into_iter().enumerate() {
        let name = EndpointName::parse(&format!("site-{index}")).unwrap();
        row.join(&ReadyEntry {
            name,
            version: 1,
            range,
        });
    }
    let wanted = LoadTarget {
        min_ready: 1,
        ..target(2, ranges[1])
    };
    let only_holder = EndpointName::parse("site-1").unwrap();
    assert_eq!(
        row.leave(&only_holder, &wanted, false),
        LeaveVerdict::Denied
    );
    let doubled = EndpointName::parse("site-2").unwrap();
    assert_eq!(row.leave(&doubled, &wanted, false), LeaveVerdict::Granted);
    assert_eq!(
        row.leave(&only_holder, &wanted, true),
        LeaveVerdict::Granted
    );
}

#[test]
fn fence_rises_without_store() {
    let first = FenceNumber::next(None, MilliTime::from_millis(1_000));
    let second = FenceNumber::next(Some(first), MilliTime::from_millis(900));
    let third = FenceNumber::next(None, MilliTime::from_millis(2_000));
    assert!(first < second && second < third);
}
