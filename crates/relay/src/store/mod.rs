/*!
The store: its client, and the tasks that follow the configuration and the list of engines.
*/

mod config_task;
mod listing_task;
mod retry_pause;
mod store_client;

pub use self::config_task::run_config;
pub use self::listing_task::run_listing;
pub use self::store_client::StoreClient;
