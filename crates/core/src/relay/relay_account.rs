/// A client account and the keys that authenticate it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayAccount {
    /// The name that engines receive.
    pub name: String,
    /// The currently valid keys.
    pub keys: Vec<String>,
    /// The priority of the account's requests, 0 first; overrides the priority of the route.
    pub priority: Option<u8>,
}
