/*!
Tracking of requests that may have crashed an endpoint.

Each crash is stored in a row of the table service, so that it is counted across entries and
outlives the process; gossip spreads the counts to the other entries.
*/

mod crash_row;
mod crash_tracker;

pub use self::crash_tracker::CrashTracker;
