//! The checks of a ticket's content against the configuration it is to change.

use super::ChangeTicket;
use super::ConfigState;
use super::TicketFault;

/// Returns every fault of the ticket's content.
pub fn check_content(_ticket: &ChangeTicket, _config: &ConfigState) -> Vec<TicketFault> {
    Vec::new()
}
