//! Tests that run the daemon's binary as separate processes, which they stop, kill and pause.

mod callers;
mod command_line;
mod graceful_shutdown;
mod node_faults;
mod process_support;
mod rollout;
