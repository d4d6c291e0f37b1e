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

/// A numbered change of the configuration, with the complete new state of every object it changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeTicket {
    /// The number of the ticket. An object is never changed by a ticket with a lower number than the
    /// one that last changed it.
    pub number: u64,
    /// The client accounts that the ticket creates or replaces.
    #[serde(default)]
    pub accounts: Vec<AccountSpec>,
    /// The models that the ticket creates or replaces.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// The pools that the ticket creates or replaces.
    #[serde(default)]
    pub pools: Vec<PoolSpec>,
    /// The services that the ticket creates or replaces.
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
    /// Returns a fault, with its place, for every unknown, missing or malformed field.
    pub fn parse(json: &[u8]) -> Result<ChangeTicket, Vec<TicketFault>> {
        parse_ticket(json)
    }

    /// Returns the changes that the ticket makes when it is committed as `revision`.
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

    /// Returns the number of objects that the ticket changes or deletes.
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
