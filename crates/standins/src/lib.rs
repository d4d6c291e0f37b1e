/*!
Stand-ins of the outside systems, for tests, measurements and the loopback demonstration.

Each stand-in serves its protocol on a loopback port of its own and has switches for the faults
that the real system shows. A test sets the switches from code; the binary `dandelion-standins`
sets those of [`FaultSwitches`](server::FaultSwitches) over its control listener.
*/

pub mod booking;
pub mod engine;
pub mod host;
pub mod load;
pub mod object;
pub mod serve;
pub mod server;
pub mod table;
