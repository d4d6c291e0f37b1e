use serde::Deserialize;
use serde::Serialize;

use crate::ident::AccountName;
use crate::ident::ModelName;
use crate::ident::ServiceName;

/// The configuration of a client account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// The name of the client account.
    pub name: AccountName,
    /// The SHA-256 of the account's secret, as 64 lower-case hexadecimal digits.
    pub secret_sha256: String,
    /// The sustained limit in work units per second over all entry hosts.
    pub units_per_second: u64,
    /// The maximum burst in work units.
    pub burst_units: u64,
    /// The weight of the account in the fair sharing of contended endpoints; normally 1.
    pub weight: u32,
    /// The priority class of the account's requests: 0 is interactive, higher classes are served
    /// later.
    #[serde(default)]
    pub priority: u8,
    /// The services that the account may call.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// The models that the account may use.
    #[serde(default)]
    pub models: Vec<ModelName>,
}
