/// A table of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTable {
    /// The operator's configuration; read only.
    Config,
    /// The engines, each listed by itself; read only.
    Engines,
    /// The processes of dandelionroad.
    Members,
    /// The leases of tasks that one process does at a time.
    Leases,
}
