use dandelionroad_core::stream::LayerRange;

/// The endpoints of the pipeline: name, availability zone, first layer and the layer after the
/// last.
///
/// No two ranges together cover the twelve layers, so every route has at least three stages. Two
/// endpoints hold each range, so any stage can be replaced.
const STAGES: [(&str, &str, u16, u16); 6] = [
    ("stage-a1", "talca", 0, 5),
    ("stage-a2", "constitucion", 0, 5),
    ("stage-b1", "constitucion", 4, 9),
    ("stage-b2", "curico", 4, 9),
    ("stage-c1", "curico", 8, 12),
    ("stage-c2", "talca", 8, 12),
];

/// The nodes of the demonstration, with their names, availability zones and layers.
#[derive(Clone, Debug)]
pub struct DemoLayout {
    /// The names and availability zones of the entries.
    pub entries: Vec<(&'static str, &'static str)>,
    /// The names, availability zones and layers of the endpoints of model engines.
    pub stages: Vec<(&'static str, &'static str, LayerRange)>,
    /// The names and availability zones of the endpoints of the booking service.
    pub bookings: Vec<(&'static str, &'static str)>,
}

impl DemoLayout {
    /// Returns the layout of the demonstration: two entries, two endpoints for each of three
    /// stages, and two booking endpoints.
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

    /// Returns the layout of a measurement: one entry, and one endpoint for each of up to three
    /// `ranges`.
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
