use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::AccountName;
use crate::ident::ModelName;
use crate::ident::PoolName;
use crate::ident::ServiceName;

use super::AccountSpec;
use super::ModelSpec;
use super::PoolSpec;
use super::ServiceSpec;

/// The configuration objects of one revision, each kind sorted by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigState {
    /// The revision; each accepted ticket raises it by one.
    pub revision: u64,
    /// The client accounts.
    pub accounts: Vec<AccountSpec>,
    /// The models.
    pub models: Vec<ModelSpec>,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
}

impl ConfigState {
    /// Creates the empty configuration of revision 0.
    pub fn new() -> ConfigState {
        ConfigState::default()
    }

    /// Returns the client account `name`.
    pub fn account(&self, name: &AccountName) -> Option<&AccountSpec> {
        find(&self.accounts, |account| account.name.cmp(name))
    }

    /// Returns the client account whose secret has the given SHA-256 in hexadecimal digits.
    pub fn account_by_secret(&self, secret_sha256: &str) -> Option<&AccountSpec> {
        self.accounts
            .iter()
            .find(|account| account.secret_sha256 == secret_sha256)
    }

    /// Returns the model `name`.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        find(&self.models, |model| model.name.cmp(name))
    }

    /// Returns the pool `name`.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        find(&self.pools, |pool| pool.name.cmp(name))
    }

    /// Returns the service `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        find(&self.services, |service| service.name.cmp(name))
    }

    /// Returns the pools that serve `model`.
    pub fn pools_of<'a>(&'a self, model: &'a ModelName) -> impl Iterator<Item = &'a PoolSpec> {
        self.pools.iter().filter(move |pool| pool.model == *model)
    }
}

/// Finds an item of a vector that is sorted by the order that `compare` returns.
fn find<T>(items: &[T], compare: impl FnMut(&T) -> Ordering) -> Option<&T> {
    let index = items.binary_search_by(compare).ok()?;
    Some(&items[index])
}
