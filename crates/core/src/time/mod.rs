/*!
The time type of the decision logic: milliseconds since an origin that the caller chooses.
*/

mod milli_time;

pub use self::milli_time::MilliTime;
