//! Calls to plain services through whole nodes over loopback.

mod faults;
mod single;
mod support;
