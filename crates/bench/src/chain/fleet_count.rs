use serde::Deserialize;

/// Engines of one kind, or entries, in one availability zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetCount {
    /// The availability zone.
    pub zone: String,
    /// The kind of accelerator; none for entries.
    pub kind: Option<String>,
    /// How many there are.
    pub count: u16,
}
