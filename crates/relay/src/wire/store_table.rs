/// A table of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTable {
    /// The operator's configuration; read-only for the relay.
    Config,
    /// The engines, each of which writes its own row; read-only for the relay.
    Engines,
    /// The relay processes.
    Members,
    /// The leases of tasks that run in one process at a time.
    Leases,
    /// The era of the store in which no rows are missing any more.
    Eras,
    /// The crashes of engines that are attributed to requests.
    Crashes,
}
