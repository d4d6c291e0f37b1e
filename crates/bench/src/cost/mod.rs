/*!
The time and size of single decisions at today's size and at multiples of it.
*/

mod cost_line;
mod cost_world;
mod stopwatch;

pub use self::cost_line::CostLine;

use self::cost_world::CostWorld;

/// The sizes measured, in multiples of today's 30 engines, 3 entries and 10 accounts.
pub const SCALES: [usize; 3] = [1, 10, 100];

/// Measures every decision at every size.
pub fn measure() -> Vec<CostLine> {
    let worlds = SCALES.map(CostWorld::new);
    CostWorld::decisions()
        .iter()
        .map(|(name, decision)| {
            let costs = worlds.each_ref().map(decision);
            CostLine::new(name, costs)
        })
        .collect()
}
