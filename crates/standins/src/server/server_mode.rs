use serde::Deserialize;
use serde::Serialize;

/// Whether a stand-in accepts connections and handles requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerMode {
    /// Connections are accepted and requests handled.
    #[default]
    Up,
    /// Connections are refused and open ones closed.
    Down,
    /// Connections are accepted, but requests wait until the mode changes and take effect then.
    Frozen,
}
