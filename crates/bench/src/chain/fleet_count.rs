use serde::Deserialize;

/// A number of engines of one kind, or of entries, in one availability zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetCount {
    /// The availability zone.
    pub zone: String,
    /// The name of the kind of accelerator; none for entries.
    pub kind: Option<String>,
    /// The number of engines or entries.
    pub count: u16,
}
