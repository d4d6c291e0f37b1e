/*!
The daemon as a library: thin shells that carry out the decisions of `dandelionroad-core`.

[`node::NodeHandle::start`] starts one process' worth of tasks; the binary starts one, tests and the
loopback demonstration start several in one process.
*/

mod call_rows;

pub mod command;
pub mod control;
pub mod endpoint;
pub mod entry;
pub mod node;
pub mod telemetry;
