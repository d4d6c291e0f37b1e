use serde::Serialize;

use super::SCALES;

/// The cost of one decision at each of the measured sizes.
#[derive(Clone, Debug, Serialize)]
pub struct CostLine {
    /// The name of the decision.
    pub name: String,
    /// The median time at each size, in nanoseconds.
    pub nanoseconds: [u64; SCALES.len()],
    /// The size of the resulting message (as JSON) or plan (in memory) at each size, in bytes.
    pub bytes: [u64; SCALES.len()],
    /// The growth of the time with the size, from the first to the last size.
    pub growth: &'static str,
}

impl CostLine {
    /// Creates a line from the time in nanoseconds and the size in bytes at each size.
    pub fn new(name: &str, costs: [(u64, u64); SCALES.len()]) -> CostLine {
        let first = costs[0].0.max(1) as f64;
        let last = costs[SCALES.len() - 1].0.max(1) as f64;
        let span = SCALES[SCALES.len() - 1] as f64 / SCALES[0] as f64;
        let exponent = (last / first).ln() / span.ln();
        let growth = match exponent {
            exponent if exponent < 0.25 => "constant or logarithmic",
            exponent if exponent < 0.75 => "less than linear",
            exponent if exponent < 1.25 => "linear",
            _ => "more than linear",
        };
        CostLine {
            name: name.to_owned(),
            nanoseconds: costs.map(|(nanoseconds, _)| nanoseconds),
            bytes: costs.map(|(_, bytes)| bytes),
            growth,
        }
    }
}
