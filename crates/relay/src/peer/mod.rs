/*!
What processes tell each other about the requests that they have at engines.

Each process sends its own loads to the others as datagrams; a lost one is made up for by the next.
*/

mod peer_load;
mod peer_message;
mod peer_table;
mod peer_task;

pub use self::peer_load::PeerLoad;
pub use self::peer_message::PeerMessage;
pub use self::peer_table::PeerTable;
pub use self::peer_task::run_peers;
