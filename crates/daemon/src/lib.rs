/*!
The daemon as a library: the I/O around the state machines of `dandelionroad-core`.

The state machines decide, and the tasks of this crate execute their actions: RPC, HTTP, timers and
outside systems. [`node::NodeHandle::start`] starts the listeners and tasks of one node. The binary
starts one; tests and the loopback demonstration start several in one process.
*/

mod call_rows;

pub mod command;
pub mod control;
pub mod endpoint;
pub mod entry;
pub mod node;
pub mod telemetry;
