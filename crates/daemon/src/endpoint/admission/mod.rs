/*!
Admission of work to the engine or plain service of this endpoint.

Requests wait in a bounded queue until a place is free, are refused with a retry time when the queue
is full or their deadline can't be met, and hold a permit while they run.
*/

mod work_gate;
mod work_permit;

pub use self::work_gate::WorkGate;
pub use self::work_permit::WorkPermit;
