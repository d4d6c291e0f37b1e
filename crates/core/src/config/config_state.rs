use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::ident::AccountName;
use crate::ident::ModelName;
use crate::ident::PoolName;
use crate::ident::ServiceName;

use super::AccountSpec;
use super::ChangeTicket;
use super::ConfigDelta;
use super::ConfigObject;
use super::ModelSpec;
use super::ObjectChange;
use super::ObjectKind;
use super::ObjectMark;
use super::PoolSpec;
use super::ServiceSpec;

/// The complete configuration at one revision, with the objects of each kind sorted by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigState {
    /// The revision, which each accepted ticket increments by one.
    pub revision: u64,
    /// The client accounts.
    pub accounts: Vec<AccountSpec>,
    /// The models.
    pub models: Vec<ModelSpec>,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The ticket and revision that last changed each object, including deleted objects; sorted by
    /// kind and name.
    #[serde(default)]
    pub marks: Vec<ObjectMark>,
}

impl ConfigState {
    /// Creates the empty configuration of revision 0.
    pub fn new() -> ConfigState {
        ConfigState::default()
    }

    /// Returns the client account `name`.
    pub fn account(&self, name: &AccountName) -> Option<&AccountSpec> {
        find_sorted(&self.accounts, |account| account.name.cmp(name))
    }

    /// Returns the client account whose secret has the given SHA-256 in hexadecimal digits.
    pub fn account_by_secret(&self, secret_sha256: &str) -> Option<&AccountSpec> {
        self.accounts
            .iter()
            .find(|account| account.secret_sha256 == secret_sha256)
    }

    /// Returns the model `name`.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        find_sorted(&self.models, |model| model.name.cmp(name))
    }

    /// Returns the pool `name`.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        find_sorted(&self.pools, |pool| pool.name.cmp(name))
    }

    /// Returns the service `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        find_sorted(&self.services, |service| service.name.cmp(name))
    }

    /// Returns the pools that serve `model`.
    pub fn pools_of<'a>(&'a self, model: &'a ModelName) -> impl Iterator<Item = &'a PoolSpec> {
        self.pools.iter().filter(move |pool| pool.model == *model)
    }

    /// Returns the mark of an object, which is kept after the object is deleted.
    pub fn mark(&self, kind: ObjectKind, name: &str) -> Option<&ObjectMark> {
        find_sorted(&self.marks, |mark| mark.cmp_key(kind, name))
    }

    /// Returns a copy of the object `name` of the given kind.
    pub fn object(&self, kind: ObjectKind, name: &str) -> Option<ConfigObject> {
        match kind {
            ObjectKind::Account => find_sorted(&self.accounts, |item| item.name.as_str().cmp(name))
                .cloned()
                .map(ConfigObject::Account),
            ObjectKind::Model => find_sorted(&self.models, |item| item.name.as_str().cmp(name))
                .cloned()
                .map(ConfigObject::Model),
            ObjectKind::Pool => find_sorted(&self.pools, |item| item.name.as_str().cmp(name))
                .cloned()
                .map(ConfigObject::Pool),
            ObjectKind::Service => find_sorted(&self.services, |item| item.name.as_str().cmp(name))
                .cloned()
                .map(ConfigObject::Service),
        }
    }

    /// Returns all changes after the revision `base`.
    pub fn delta_since(&self, base: u64) -> ConfigDelta {
        let newer = self.marks.iter().filter(|mark| mark.revision > base);
        let changes = newer.map(|mark| ObjectChange {
            mark: mark.clone(),
            object: self.object(mark.kind, &mark.name),
        });
        ConfigDelta {
            base,
            revision: self.revision,
            changes: changes.collect(),
        }
    }

    /// Applies a delta and returns whether the configuration changed.
    ///
    /// A delta that results in a revision not above the current one, or whose base is above the
    /// current one, is ignored. The configuration thereby never reverts and never misses a change.
    pub fn apply_delta(&mut self, delta: &ConfigDelta) -> bool {
        if delta.revision <= self.revision || delta.base > self.revision {
            return false;
        }
        for change in &delta.changes {
            let held = self.mark(change.mark.kind, &change.mark.name);
            if held.is_none_or(|held| held.revision < change.mark.revision) {
                self.apply_change(change);
            }
        }
        self.revision = delta.revision;
        true
    }

    /// Applies an accepted ticket as the next revision.
    pub fn apply(&mut self, ticket: &ChangeTicket) {
        self.revision += 1;
        for change in ticket.changes(self.revision) {
            self.apply_change(&change);
        }
    }

    /// Sets or deletes one object and stores its mark, without changing the revision.
    pub fn apply_change(&mut self, change: &ObjectChange) {
        let mark = &change.mark;
        let name = mark.name.as_str();
        match mark.kind {
            ObjectKind::Account => {
                let state = match &change.object {
                    Some(ConfigObject::Account(state)) => Some(state),
                    _ => None,
                };
                set_sorted(&mut self.accounts, state, |item| {
                    item.name.as_str().cmp(name)
                });
            }
            ObjectKind::Model => {
                let state = match &change.object {
                    Some(ConfigObject::Model(state)) => Some(state),
                    _ => None,
                };
                set_sorted(&mut self.models, state, |item| item.name.as_str().cmp(name));
            }
            ObjectKind::Pool => {
                let state = match &change.object {
                    Some(ConfigObject::Pool(state)) => Some(state),
                    _ => None,
                };
                set_sorted(&mut self.pools, state, |item| item.name.as_str().cmp(name));
            }
            ObjectKind::Service => {
                let state = match &change.object {
                    Some(ConfigObject::Service(state)) => Some(state),
                    _ => None,
                };
                set_sorted(&mut self.services, state, |item| {
                    item.name.as_str().cmp(name)
                });
            }
        }
        set_sorted(&mut self.marks, Some(mark), |held| {
            held.cmp_key(mark.kind, name)
        });
    }
}

/// Finds an item of a vector that is sorted by the order that `compare` returns.
fn find_sorted<T>(items: &[T], compare: impl FnMut(&T) -> Ordering) -> Option<&T> {
    let index = items.binary_search_by(compare).ok()?;
    Some(&items[index])
}

/// Sets or removes an item of a vector that is sorted by the order that `compare` returns.
fn set_sorted<T: Clone>(
    items: &mut Vec<T>,
    state: Option<&T>,
    compare: impl FnMut(&T) -> Ordering,
) {
    match (items.binary_search_by(compare), state) {
        (Ok(index), Some(state)) => items[index] = state.clone(),
        (Ok(index), None) => drop(items.remove(index)),
        (Err(index), Some(state)) => items.insert(index, state.clone()),
        (Err(_), None) => {}
    }
}
