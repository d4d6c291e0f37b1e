/*!
The client of the store, the tasks that keep the configuration and the list of engines up to date, and the one that
keeps known crashes for processes that start later.

The store is an external service that holds versioned rows. Only the store reader (see
[`peer`](crate::peer)) reads it regularly. The other processes rely on the reader's confirmations and
read the store themselves when these stop arriving, so an unreachable reader delays a change but does
not lose it. During an outage, processes retry at different rates, so the calls don't multiply with
their number.
*/

mod config_task;
mod crash_task;
mod ignored_rows;
mod listing_task;
mod pending_read;
mod retry_pause;
mod settled_era;
mod store_client;
mod store_era;

pub use self::config_task::run_config;
pub use self::crash_task::run_crash_record;
pub use self::listing_task::run_listing;
pub use self::store_client::StoreClient;
pub(crate) use self::store_era::observe_version;
