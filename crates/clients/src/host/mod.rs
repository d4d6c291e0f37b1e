/*!
Clients of the platform's list of live and leaving hosts, which lags behind their actual state.
*/

mod host_client;
mod host_entry;
mod http_host;

pub use self::host_client::HostClient;
pub use self::host_entry::HostEntry;
pub use self::http_host::HttpHost;
