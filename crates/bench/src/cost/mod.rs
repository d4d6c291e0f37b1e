/*!
Measurement of single decisions: their time, and the size of the resulting message or plan.

A decision must stay cheap when the system grows, so each one is measured at several sizes of the fleet
and the configuration. [`CostLine`] also states how its time grows with the size.
*/

mod cost_inputs;
mod cost_line;
mod demand_inputs;
mod shortage_inputs;
mod stopwatch;

pub use self::cost_line::CostLine;

use self::cost_inputs::CostInputs;
use self::demand_inputs::DemandInputs;
use self::shortage_inputs::ShortageInputs;

/// The measured sizes, as multiples of the base size of 30 engines, 3 entries and 10 accounts.
pub const SCALES: [usize; 3] = [1, 10, 100];

/// The sizes of the fleets for which admission under shortage is measured, in engines.
pub const ENGINE_COUNTS: [usize; SCALES.len()] = [56, 300, 3_000];

/// The numbers of processes for which demand reports are measured.
pub const PROCESS_COUNTS: [usize; SCALES.len()] = [25, 103, 300];

/// Measures every decision at every size.
pub fn measure() -> Vec<CostLine> {
    let inputs = SCALES.map(CostInputs::new);
    let measurements = CostInputs::measurements();
    let lines = measurements.iter().map(|(name, decision)| {
        let costs = inputs.each_ref().map(decision);
        CostLine::new(name, SCALES, costs)
    });
    lines.chain(measure_shortage()).collect()
}

/// Measures admission under shortage by the number of engines, and demand reports by the number of processes.
fn measure_shortage() -> Vec<CostLine> {
    let fleets = ENGINE_COUNTS.map(ShortageInputs::new);
    let demands = PROCESS_COUNTS.map(DemandInputs::new);
    let decisions = fleets.each_ref().map(ShortageInputs::measure_decision);
    let weights = demands.each_ref().map(DemandInputs::measure_own_weight);
    let sums = demands.each_ref().map(DemandInputs::measure_peer_sums);
    vec![
        CostLine::new("shortage decision, by engines", ENGINE_COUNTS, decisions),
        CostLine::new(
            "weight of own demand, by processes",
            PROCESS_COUNTS,
            weights,
        ),
        CostLine::new("sums of others' demand, by processes", PROCESS_COUNTS, sums),
    ]
}
