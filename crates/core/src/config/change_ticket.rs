use serde::Deserialize;
use serde::Serialize;

use super::AccountSpec;
use super::ConfigObject;
use super::ModelSpec;
use super::ObjectChange;
use super::ObjectKind;
use super::ObjectMark;
use super::ObjectRef;
use super::PoolSpec;
use super::ServiceSpec;
use super::TicketFault;
use super::ticket_parser::parse_ticket;

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

impl ChangeTicket {
    /// Parses a ticket from JSON.
    ///
    /// # Errors
    ///
    /// Returns every unknown, missing or malformed field with its place.
    pub fn parse(json: &[u8]) -> Result<ChangeTicket, Vec<TicketFault>> {
        parse_ticket(json)
    }

    /// Returns the change of every object that the ticket touches, marked with `revision`.
    pub fn changes(&self, revision: u64) -> Vec<ObjectChange> {
        let accounts = self.accounts.iter().cloned().map(ConfigObject::Account);
        let models = self.models.iter().cloned().map(ConfigObject::Model);
        let pools = self.pools.iter().cloned().map(ConfigObject::Pool);
        let services = self.services.iter().cloned().map(ConfigObject::Service);
        let objects = accounts.chain(models).chain(pools).chain(services);
        let set = objects.map(|object| ObjectChange {
            mark: self.mark(object.kind(), object.name(), revision),
            object: Some(object),
        });
        let deleted = self.delete.iter().map(|object| ObjectChange {
            mark: self.mark(object.kind, &object.name, revision),
            object: None,
        });
        set.chain(deleted).collect()
    }

    /// Returns the number of objects that the ticket touches.
    pub fn object_count(&self) -> usize {
        let set = self.accounts.len() + self.models.len() + self.pools.len() + self.services.len();
        set + self.delete.len()
    }

    fn mark(&self, kind: ObjectKind, name: &str, revision: u64) -> ObjectMark {
        ObjectMark {
            kind,
            name: name.to_owned(),
            ticket: self.number,
            revision,
        }
    }
}
