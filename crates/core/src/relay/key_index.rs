use super::RelayConfig;

/// The API keys of a configuration, each with its client account.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// The keys with the positions of their accounts, sorted by key.
    entries: Vec<(String, usize)>,
}

impl KeyIndex {
    /// Creates the index of a configuration's keys.
    pub fn new(config: &RelayConfig) -> KeyIndex {
        let mut entries = Vec::new();
        for (position, account) in config.accounts.iter().enumerate() {
            entries.extend(account.keys.iter().map(|key| (key.clone(), position)));
        }
        entries.sort();
        KeyIndex { entries }
    }

    /// Returns the position of the account that holds `key`.
    pub fn find(&self, key: &str) -> Option<usize> {
        let index = self
            .entries
            .binary_search_by(|(known, _)| known.as_str().cmp(key));
        index.ok().map(|index| self.entries[index].1)
    }
}
