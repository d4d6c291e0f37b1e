use serde::Deserialize;
use serde::Serialize;

use super::AccountSpec;
use super::ModelSpec;
use super::ObjectRef;
use super::PoolSpec;
use super::ServiceSpec;

/// A numbered change that carries the whole new state of every object it touches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeTicket {
    /// The number of the ticket. An object never takes a state from a lower number than it holds.
    pub number: u64,
    /// The client accounts that the ticket sets.
    #[serde(default)]
    pub accounts: Vec<AccountSpec>,
    /// The models that the ticket sets.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// The pools that the ticket sets.
    #[serde(default)]
    pub pools: Vec<PoolSpec>,
    /// The services that the ticket sets.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// The objects that the ticket deletes.
    #[serde(default)]
    pub delete: Vec<ObjectRef>,
}
