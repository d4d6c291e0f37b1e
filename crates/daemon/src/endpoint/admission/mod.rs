/*!
The admission queue in front of the engine or plain service beside this process.
*/

mod work_gate;
mod work_permit;

pub use self::work_gate::WorkGate;
pub use self::work_permit::WorkPermit;
