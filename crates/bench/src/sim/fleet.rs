use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::ZoneName;
use dandelionroad_core::route::FlowLink;
use dandelionroad_core::route::FlowNode;
use dandelionroad_core::stream::LayerRange;

/// The number of layers of the simulated model.
const LAYERS: u16 = 32;

/// The names of the availability zones.
const ZONES: [&str; 3] = ["constitucion", "curico", "talca"];

/// The capacity of the link between two zones for each 30 engines of the fleet, in tokens per second.
const LINK_TOKENS_PER_SECOND: u64 = 20_000;

/// The engines of one zone: first layer, layer after the last one, mean rate in tokens per second.
const RANGES: [(u16, u16, u64); 10] = [
    (0, 16, 420),
    (0, 16, 260),
    (0, 10, 300),
    (0, 12, 180),
    (8, 24, 340),
    (10, 32, 240),
    (16, 32, 460),
    (16, 32, 220),
    (24, 32, 380),
    (0, 32, 120),
];

/// The engines and links of a simulation or measurement.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The number of layers of the model.
    pub layers: u16,
    /// The engines, in the order of their names.
    pub nodes: Vec<FlowNode>,
    /// The links between zones.
    pub links: Vec<FlowLink>,
}

impl Fleet {
    /// Creates 30 engines for each unit of `scale` in three zones, with overlapping layer ranges
    /// and different speeds.
    pub fn new(scale: usize) -> Fleet {
        let mut nodes = Vec::new();
        for copy in 0..scale {
            for (zone_index, zone) in ZONES.iter().enumerate() {
                for (index, (first, end, rate)) in RANGES.iter().enumerate() {
                    // Engines of the same entry of `RANGES` differ in speed by up to a factor of two.
                    let percent = 70 + (zone_index * 25 + index * 17 + copy * 11) % 70;
                    let number = nodes.len();
                    nodes.push(FlowNode {
                        endpoint: endpoint_name(number),
                        zone: zone_name(zone),
                        range: LayerRange::new(*first, *end),
                        tokens_per_second: rate * percent as u64 / 100,
                    });
                }
            }
        }
        Fleet {
            layers: LAYERS,
            nodes,
            links: links(scale as u64),
        }
    }

    /// Returns the index of the engine with this endpoint name.
    ///
    /// # Panics
    ///
    /// Panics if the name is not that of a fleet's engine.
    pub fn index(name: &EndpointName) -> usize {
        name.as_str()[1..]
            .parse()
            .expect("names are built from indices")
    }

    /// Returns the index of the zone with this name.
    ///
    /// # Panics
    ///
    /// Panics if the zone is not one of the fleet.
    pub fn zone_index(zone: &ZoneName) -> usize {
        ZONES
            .iter()
            .position(|known| *known == zone.as_str())
            .expect("the zone is one of the fleet")
    }
}

/// Returns the endpoint name of the engine with this index.
pub(super) fn endpoint_name(number: usize) -> EndpointName {
    EndpointName::parse(&format!("e{number:06}")).expect("digits are valid")
}

fn zone_name(name: &str) -> ZoneName {
    ZoneName::parse(name).expect("letters are valid")
}

fn links(scale: u64) -> Vec<FlowLink> {
    let mut links = Vec::new();
    for from in ZONES {
        for to in ZONES {
            if from != to {
                links.push(FlowLink {
                    from: zone_name(from),
                    to: zone_name(to),
                    tokens_per_second: LINK_TOKENS_PER_SECOND * scale,
                });
            }
        }
    }
    links
}
