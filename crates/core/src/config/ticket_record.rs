use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::hex::hex_text;

use super::ChangeTicket;

/// The value of a row `ticket/<number>`: the ticket that was committed with the number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketRecord {
    /// The revision that the ticket created.
    pub revision: u64,
    /// The token of the submission, by which its sender recognizes its own commit after a lost
    /// answer.
    pub token: String,
    /// The SHA-256 of the ticket, in hexadecimal digits.
    pub digest: String,
}

impl TicketRecord {
    /// Returns the digest of a ticket, which is independent of the order of its objects.
    pub fn digest_of(ticket: &ChangeTicket) -> String {
        let mut ticket = ticket.clone();
        ticket.accounts.sort_by(|a, b| a.name.cmp(&b.name));
        ticket.models.sort_by(|a, b| a.name.cmp(&b.name));
        ticket.pools.sort_by(|a, b| a.name.cmp(&b.name));
        ticket.services.sort_by(|a, b| a.name.cmp(&b.name));
        ticket.delete.sort();
        let text = serde_json::to_string(&ticket).expect("tickets have only string keys");
        let digest = Sha256::digest(text);
        hex_text(&digest)
    }
}
