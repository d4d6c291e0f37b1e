use serde::Serialize;

use super::SCALES;

/// The cost of one decision at each of the measured sizes.
#[derive(Clone, Debug, Serialize)]
pub struct CostLine {
    /// The name of the decision.
    pub name: String,
    /// The measured sizes: [`SCALES`], or numbers of engines or processes if the name says so.
    pub sizes: [usize; SCALES.len()],
    /// The median time at each size, in nanoseconds.
    pub nanoseconds: [u64; SCALES.len()],
    /// The size of the resulting message (as JSON) or plan (in memory) at each size, in bytes; 0 for
    /// decisions with neither.
    pub bytes: [u64; SCALES.len()],
    /// The growth of the time with the size, from the first to the last size.
    pub growth: &'static str,
}

impl CostLine {
    /// Creates a line from the sizes, and the time in nanoseconds and the bytes of the result at each of them.
    pub fn new(
        name: &str,
        sizes: [usize; SCALES.len()],
        costs: [(u64, u64); SCALES.len()],
    ) -> CostLine {
        let first = costs[0].0.max(1) as f64;
        let last = costs[SCALES.len() - 1].0.max(1) as f64;
        let span = sizes[SCALES.len() - 1] as f64 / sizes[0] as f64;
        let exponent = (last / first).ln() / span.ln();
        let growth = match exponent {
            exponent if exponent < 0.25 => "constant or logarithmic",
            exponent if exponent < 0.75 => "less than linear",
            exponent if exponent < 1.25 => "linear",
            _ => "more than linear",
        };
        CostLine {
            name: name.to_owned(),
            sizes,
            nanoseconds: costs.map(|(nanoseconds, _)| nanoseconds),
            bytes: costs.map(|(_, bytes)| bytes),
            growth,
        }
    }
}
