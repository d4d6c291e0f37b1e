use std::sync::Mutex;

/// The maximum number of remembered names; further ones are not logged.
const MAX_NAMES: usize = 64;

/// The names of which a log line was written, so that each has one line.
#[derive(Debug, Default)]
pub(super) struct LoggedNames {
    /// Sorted.
    names: Mutex<Vec<String>>,
}

impl LoggedNames {
    /// Remembers a name and returns whether it is to be logged: it is new, and there are fewer than
    /// 64 names.
    pub(super) fn insert(&self, name: &str) -> bool {
        let names = self.names.lock();
        let mut names = names.unwrap_or_else(|poison| poison.into_inner());
        let Err(index) = names.binary_search_by(|known| known.as_str().cmp(name)) else {
            return false;
        };
        let has_room = names.len() < MAX_NAMES;
        if has_room {
            names.insert(index, name.to_owned());
        }
        has_room
    }
}
