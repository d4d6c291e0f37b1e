/*!
The clock type of the project: milliseconds since an origin that the caller chooses.
*/

mod milli_time;

pub use self::milli_time::MilliTime;
