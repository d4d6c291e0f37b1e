//! Tests that run the built binary as separate processes.

mod command_line;
mod graceful_shutdown;
mod process_support;
mod rollout;
