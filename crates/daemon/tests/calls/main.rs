//! Calls to plain services through complete entry and endpoint nodes over loopback.

mod faults;
mod single;
mod support;
