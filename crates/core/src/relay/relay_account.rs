/// A client account and the keys that authenticate it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayAccount {
    /// The name that engines are told.
    pub name: String,
    /// The keys that are valid now.
    pub keys: Vec<String>,
    /// The rank of the account's requests, 0 first; it goes before the rank of the route.
    pub priority: Option<u8>,
}
