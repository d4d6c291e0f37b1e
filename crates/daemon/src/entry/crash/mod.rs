/*!
Requests that may have crashed an endpoint: their counts, and the rows that hold them.
*/

mod crash_row;
mod crash_tracker;

pub use self::crash_tracker::CrashTracker;
