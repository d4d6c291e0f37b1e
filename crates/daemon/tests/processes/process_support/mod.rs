//! Runs the daemon's binary as separate processes on loopback, with stand-ins in the test process.

mod node_process;
mod process_cluster;

pub(crate) use self::node_process::NodeProcess;
pub(crate) use self::process_cluster::ProcessCluster;
pub(crate) use self::process_cluster::wait_until;
