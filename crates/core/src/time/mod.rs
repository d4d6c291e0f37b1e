/*!
The time type of the decision logic, milliseconds since an origin that the caller chooses, and the pauses
between the restarts of a task.
*/

mod milli_time;
mod restart_pause;

pub use self::milli_time::MilliTime;
pub use self::restart_pause::RestartPause;
