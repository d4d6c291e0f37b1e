/*!
Stand-ins for the outside systems, for tests, measurements and the loopback demonstration.

Each stand-in is an HTTP server on its own port. It implements the protocol of one outside system
(table service, object store, host list, model engine or booking service) with all state in memory,
and injects the faults of the real system: delays, lost answers, crashes, stale reads.

A test sets the faults through [`FaultSwitches`](server::FaultSwitches), those of an engine through
[`EngineFaults`](engine::EngineFaults). The binary `dandelion-standins` accepts the same settings
over HTTP: at its control listener, and at the URL of each engine.

The crate also contains the load generator, in [`load`].
*/

pub mod booking;
pub mod engine;
pub mod host;
pub mod load;
pub mod object;
pub mod serve;
pub mod server;
pub mod table;
