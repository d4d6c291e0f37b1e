/// A table of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTable {
    /// The operator's configuration; read-only.
    Config,
    /// The engines, each registered by itself; read-only.
    Engines,
    /// The relay processes.
    Members,
    /// The leases of tasks that run in one process at a time.
    Leases,
}
