use serde::Deserialize;
use serde::Serialize;

use super::AccountSpec;
use super::ModelSpec;
use super::ObjectKind;
use super::PoolSpec;
use super::ServiceSpec;

/// The state of one configuration object of any kind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigObject {
    /// A client account.
    Account(AccountSpec),
    /// A model version.
    Model(ModelSpec),
    /// A pool of endpoints.
    Pool(PoolSpec),
    /// A plain service.
    Service(ServiceSpec),
}

impl ConfigObject {
    /// Returns the kind of the object.
    pub const fn kind(&self) -> ObjectKind {
        match self {
            ConfigObject::Account(_) => ObjectKind::Account,
            ConfigObject::Model(_) => ObjectKind::Model,
            ConfigObject::Pool(_) => ObjectKind::Pool,
            ConfigObject::Service(_) => ObjectKind::Service,
        }
    }

    /// Returns the name of the object.
    pub fn name(&self) -> &str {
        match self {
            ConfigObject::Account(account) => account.name.as_str(),
            ConfigObject::Model(model) => model.name.as_str(),
            ConfigObject::Pool(pool) => pool.name.as_str(),
            ConfigObject::Service(service) => service.name.as_str(),
        }
    }
}
