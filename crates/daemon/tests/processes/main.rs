//! Tests that run the built binary as separate processes.

mod callers;
mod command_line;
mod graceful_shutdown;
mod node_faults;
mod process_support;
mod rollout;
