//! A cluster of nodes in one process, with fake engines and links into which tests inject faults.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test or example that includes this module uses a part of it"
)]

mod cluster;
mod fake_engine;
mod link_proxy;
mod memory_table;

pub(crate) use self::cluster::EventReader;
pub(crate) use self::cluster::TestCluster;
pub(crate) use self::cluster::wait_until;
pub(crate) use self::fake_engine::EngineMode;
pub(crate) use self::fake_engine::FATAL_TEXT;
pub(crate) use self::fake_engine::FakeEngine;
pub(crate) use self::fake_engine::LATE_FATAL_TEXT;
pub(crate) use self::fake_engine::LAYERS;
pub(crate) use self::fake_engine::expected_tokens;
pub(crate) use self::link_proxy::LinkProxy;
pub(crate) use self::memory_table::MemoryTable;
