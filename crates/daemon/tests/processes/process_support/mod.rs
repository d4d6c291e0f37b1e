//! Runs the built binary as separate processes on loopback, beside stand-ins in the test's process.

mod node_process;
mod process_cluster;

pub(crate) use self::node_process::NodeProcess;
pub(crate) use self::process_cluster::ProcessCluster;
pub(crate) use self::process_cluster::wait_until;
