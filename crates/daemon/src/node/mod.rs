/*!
One process of the daemon: its shared state, listeners and life cycle.

[`NodeHandle`] binds the listeners, starts the tasks of the role and shuts them down without cutting
off a request. The tasks share one [`NodeContext`], which holds the settings, the clock, the local
view of configuration and members, and the connections to outside systems and other processes.
*/

mod cluster_guard;
mod guarded_service;
mod logged_names;
mod node_clients;
mod node_clock;
mod node_context;
mod node_gauges;
mod node_handle;
mod peer_pool;
mod request_counter;
mod running_request;
mod start_error;

pub use self::node_clients::NodeClients;
pub use self::node_clock::NodeClock;
pub use self::node_context::NodeContext;
pub use self::node_handle::NodeHandle;
pub use self::peer_pool::PeerPool;
pub use self::request_counter::RequestCounter;
pub use self::running_request::RunningRequest;
pub use self::start_error::StartError;
