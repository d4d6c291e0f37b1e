/*!
What processes tell each other: the requests that they have at engines, and the age of what is known
from the store.

Each process sends its own loads to the others as datagrams; a lost one is made up for by the next.
The first process that reaches the store reads it often and confirms to the others that what they hold
is the newest, so that the calls of the store do not grow with the number of processes. One that is
behind and can't reach the store gets its rows from there as well.
*/

mod confirm_message;
mod datagram_error;
mod fetch_rows;
mod load_message;
mod peer_datagram;
mod peer_load;
mod peer_table;
mod peer_task;
mod row_snapshot;
mod zone_copy;

pub use self::confirm_message::ConfirmMessage;
pub use self::datagram_error::DatagramError;
pub(crate) use self::fetch_rows::fetch_rows;
pub use self::load_message::LoadMessage;
pub use self::peer_datagram::PeerDatagram;
pub use self::peer_load::PeerLoad;
pub use self::peer_table::PeerTable;
pub(crate) use self::peer_task::reads_for_others;
pub use self::peer_task::run_peers;
pub use self::row_snapshot::RowSnapshot;
pub(crate) use self::zone_copy::take_zone_copy;
