use serde::Serialize;

use super::SCALES;

/// The cost of one decision at the measured sizes.
#[derive(Clone, Debug, Serialize)]
pub struct CostLine {
    /// The decision.
    pub name: String,
    /// The median time in nanoseconds, by size.
    pub nanoseconds: [u64; SCALES.len()],
    /// The size of the message (as JSON) or of the plan (in memory) that the decision yields, in
    /// bytes, by size.
    pub bytes: [u64; SCALES.len()],
    /// How the time grows with the size from the first to the last one.
    pub growth: &'static str,
}

impl CostLine {
    /// Creates a line from pairs of nanoseconds and bytes.
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
