/*!
Datagrams between relay processes: the load that each puts on engines, its demand, confirmations of what was read
from the store, and requests that crash engines.

Each process sends its loads and its demand to the others at an interval, so a lost datagram is superseded by the
next one.

If every process polled the store, its load would grow with the number of processes. Instead, one
process is the store reader: of those that reach the store, the one with the most processor capacity. It
reads often and confirms to the others that the versions they hold are still the newest, which renews
their freshness. A process whose version is out of date fetches the change from the first process of its
availability zone, and a process that can't reach the store fetches it from the store reader. Of the list
of engines, only the changes are sent.

The messages that a process sends in a round are bounded; see [`PeerTable::round_targets`].
*/

mod confirm_message;
mod crash_exchange;
mod datagram_error;
mod fetch_rows;
mod listing_answer;
mod load_message;
mod member_task;
mod peer_datagram;
mod peer_demand;
mod peer_load;
mod peer_state;
mod peer_table;
mod peer_task;
mod priority_demand;
mod shared_rows;
mod zone_config;

pub use self::confirm_message::ConfirmMessage;
pub use self::datagram_error::DatagramError;
pub(crate) use self::fetch_rows::fetch_config;
pub(crate) use self::fetch_rows::fetch_listing;
pub use self::listing_answer::ListingAnswer;
pub use self::load_message::LoadMessage;
pub use self::peer_datagram::PeerDatagram;
pub use self::peer_demand::PeerDemand;
pub use self::peer_load::PeerLoad;
pub use self::peer_table::PeerTable;
pub(crate) use self::peer_task::is_store_reader;
pub use self::peer_task::run_peers;
pub use self::priority_demand::PriorityDemand;
pub(crate) use self::shared_rows::shared_body;
pub(crate) use self::zone_config::adopt_zone_config;
