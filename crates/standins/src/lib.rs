/*!
Stand-ins of the outside systems, for tests, measurements and the loopback demonstration.

Each stand-in serves its protocol on a loopback port of its own and carries
[`FaultSwitches`](server::FaultSwitches), which a test sets from code and the binary
`dandelion-standins` sets over its control listener.
*/

pub mod booking;
pub mod host;
pub mod object;
pub mod serve;
pub mod server;
pub mod table;
