use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::PlacementPlanner;
use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::ListingDelta;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::relay::ShortageAdmission;
use dandelionroad_core::relay::ShortageControl;
use dandelionroad_core::relay::ShortageRequest;
use dandelionroad_core::time::MilliTime;

use crate::chain::FleetFile;

use super::stopwatch::median_ns;

/// The fleet whose engines are multiplied; it has 56.
const FLEET: &str = include_str!("../../fleets/engines-56-entries-11.toml");

const SERVICE: &str = "model";

/// The number of ranks: routes of three priorities, and accounts of two.
const RANKS: u8 = 6;

/// The usual time of a running request, in milliseconds.
const RUN_MS: f64 = 8_000.0;

const NOW: MilliTime = MilliTime::from_millis(60_000);

/// A full fleet, and the admission of its model service.
pub(super) struct ShortageInputs {
    shape: ModelShape,
    zone: String,
    table: EngineTable,
    admission: ShortageAdmission,
}

impl ShortageInputs {
    /// Creates a fleet of this many engines, each of which holds layers and has no KV memory left.
    pub(super) fn new(engine_count: usize) -> ShortageInputs {
        let fleet: FleetFile = toml::from_str(FLEET).expect("the file has the form of fleets");
        let shape = fleet.shape();
        let whole: usize = fleet
            .engines
            .iter()
            .map(|engines| usize::from(engines.count))
            .sum();
        let scale = u16::try_from(engine_count.div_ceil(whole)).expect("the fleet is small");
        let multiplied = fleet.placement_engines(scale);
        // Evenly spaced engines keep the shares of the zones and kinds.
        let mut engines: Vec<_> = (0..engine_count)
            .map(|index| multiplied[index * multiplied.len() / engine_count].clone())
            .collect();
        for order in PlacementPlanner::new(&shape).orders(&engines) {
            let found = engines.iter_mut().find(|engine| engine.id == order.id);
            found.expect("orders name engines").layers = order.layers;
        }
        let records = engines.iter().zip(1..).map(|(engine, port)| EngineRecord {
            id: engine.id.clone(),
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], port).into(),
            zone: engine.zone.clone(),
            is_draining: false,
            slots: shape.slots,
            kind: Some(engine.kind.clone()),
            layers: engine.layers,
            started_ms: 0,
        });
        let listed = ListingDelta {
            changed: records.collect(),
            ..ListingDelta::default()
        };
        let mut table = EngineTable::new();
        table.update(&listed, MilliTime::from_millis(1));
        for engine in &engines {
            let kind = shape.kind(&engine.kind).expect("the kind is in the fleet");
            let units = shape.kv_capacity_units(kind.memory_mb, engine.layers.len());
            table.add_request(&engine.id, units);
        }
        let classes = (0..RANKS).map(|rank| (rank / 3, rank % 3, 500));
        let control = ShortageControl::new(classes.collect()).expect("there are classes");
        let mut admission = ShortageAdmission::new(control);
        for rank in 0..RANKS {
            admission.record_arrival(rank, 1_000.0, NOW);
        }
        ShortageInputs {
            shape,
            zone: engines[0].zone.clone(),
            table,
            admission,
        }
    }

    /// Measures the expected wait for room and the decision on a request of the least urgent rank.
    ///
    /// The message has 0 bytes, since the decision sends none.
    pub(super) fn measure_decision(&self) -> (u64, u64) {
        let request = ShortageRequest {
            rank: RANKS - 1,
            tokens: 993.0,
            target_ms: 500,
            gap_target_ms: 250,
            arrival: NOW,
            deadline: NOW.plus(20_000),
        };
        let decide = || {
            let finder_request = FinderRequest {
                tokens: request.tokens,
                is_resumed: false,
                ignores_refusals: false,
                zone: &self.zone,
                excluded: &[],
                may_cross: false,
                limits: self.admission.limits(request.rank, 0.0, NOW),
                seed: 0,
                now: NOW,
            };
            let finder = ChainFinder::new(&self.table, SERVICE, &self.shape);
            let room_wait_ms = finder.room_wait_ms(&finder_request, RUN_MS);
            let verdict = self.admission.decide(&request, room_wait_ms, 0.0, NOW);
            (room_wait_ms, verdict)
        };
        let room_wait_ms = decide().0;
        assert!(
            room_wait_ms.is_some_and(|wait_ms| wait_ms > 0.0),
            "the fleet holds the model and is full, but the expected wait is {room_wait_ms:?}"
        );
        (median_ns(decide), 0)
    }
}
