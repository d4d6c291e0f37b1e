use std::fmt::Display;
use std::fmt::Formatter;

/// A difference between the configuration in force and a later one.
///
/// Keys are counted only.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigDifference {
    /// A part that only the later configuration has.
    Added {
        /// The kind and the name of the part, for example "service orders".
        part: String,
    },
    /// A part that only the configuration in force has.
    Removed {
        /// The kind and the name of the part.
        part: String,
    },
    /// A value that differs.
    Changed {
        /// The kind and the name of the part.
        part: String,
        /// The name of the value.
        field: &'static str,
        /// The value in force.
        from: String,
        /// The later value.
        to: String,
    },
    /// Keys of an account that differ.
    KeysChanged {
        /// The kind and the name of the account.
        part: String,
        /// The number of keys that only the later configuration has.
        added: usize,
        /// The number of keys that only the configuration in force has.
        revoked: usize,
    },
}

impl Display for ConfigDifference {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigDifference::Added { part } => write!(out, "{part}: added"),
            ConfigDifference::Removed { part } => write!(out, "{part}: removed"),
            ConfigDifference::Changed {
                part,
                field,
                from,
                to,
            } => write!(out, "{part}: {field} from {from} to {to}"),
            ConfigDifference::KeysChanged {
                part,
                added,
                revoked,
            } => write!(out, "{part}: {added} keys added, {revoked} keys revoked"),
        }
    }
}
