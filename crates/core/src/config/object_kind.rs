use serde::Deserialize;
use serde::Serialize;

/// The kinds of configuration objects.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A client account.
    Account,
    /// A model version.
    Model,
    /// A pool of endpoints.
    Pool,
    /// A plain service.
    Service,
}

impl ObjectKind {
    /// Every kind.
    pub const ALL: [ObjectKind; 4] = [
        ObjectKind::Account,
        ObjectKind::Model,
        ObjectKind::Pool,
        ObjectKind::Service,
    ];

    /// Returns the kind as it appears in row keys and administration paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Account => "account",
            ObjectKind::Model => "model",
            ObjectKind::Pool => "pool",
            ObjectKind::Service => "service",
        }
    }
}
