use dandelionroad_core::stream::LayerRange;

/// The endpoints of the pipeline: name, availability zone and layers.
///
/// No two ranges cover the twelve layers, so that every route has at least three stages, and each
/// range has two endpoints, so that any stage can be replaced.
const STAGES: [(&str, &str, u16, u16); 6] = [
    ("stage-a1", "talca", 0, 5),
    ("stage-a2", "constitucion", 0, 5),
    ("stage-b1", "constitucion", 4, 9),
    ("stage-b2", "curico", 4, 9),
    ("stage-c1", "curico", 8, 12),
    ("stage-c2", "talca", 8, 12),
];

/// The names of the processes and what they hold.
#[derive(Clone, Debug)]
pub struct DemoLayout {
    /// The entries with their availability zones.
    pub entries: Vec<(&'static str, &'static str)>,
    /// The endpoints beside layer-range or whole-model engines, with zones and layers.
    pub stages: Vec<(&'static str, &'static str, LayerRange)>,
    /// The endpoints beside the booking service, with their availability zones.
    pub bookings: Vec<(&'static str, &'static str)>,
}

impl DemoLayout {
    /// Returns two entries, two endpoints for each of three stages and two booking endpoints.
    pub fn three_stages() -> DemoLayout {
        let stages = STAGES.iter();
        DemoLayout {
            entries: vec![("entry-1", "talca"), ("entry-2", "curico")],
            stages: stages
                .map(|(name, zone, first, end)| (*name, *zone, LayerRange::new(*first, *end)))
                .collect(),
            bookings: vec![("booking-1", "talca"), ("booking-2", "curico")],
        }
    }

    /// Returns one entry and one endpoint for each of `ranges`, for measurements.
    pub fn chain(ranges: &[LayerRange]) -> DemoLayout {
        let names = ["stage-1", "stage-2", "stage-3"];
        DemoLayout {
            entries: vec![("entry-1", "talca")],
            stages: names
                .iter()
                .zip(ranges)
                .map(|(name, range)| (*name, "talca", *range))
                .collect(),
            bookings: Vec::new(),
        }
    }
}
