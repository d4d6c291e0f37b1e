/*!
Measurement of single decisions: their time, and the size of the resulting message or plan.

A decision must stay cheap when the system grows, so each one is measured at several sizes of the fleet
and the configuration. [`CostLine`] also states how its time grows with the size.
*/

mod cost_inputs;
mod cost_line;
mod stopwatch;

pub use self::cost_line::CostLine;

use self::cost_inputs::CostInputs;

/// The measured sizes, as multiples of the base size of 30 engines, 3 entries and 10 accounts.
pub const SCALES: [usize; 3] = [1, 10, 100];

/// Measures every decision at every size.
pub fn measure() -> Vec<CostLine> {
    let inputs = SCALES.map(CostInputs::new);
    CostInputs::measurements()
        .iter()
        .map(|(name, decision)| {
            let costs = inputs.each_ref().map(decision);
            CostLine::new(name, costs)
        })
        .collect()
}
