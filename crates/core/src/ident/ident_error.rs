use snafu::Snafu;

/// An error from parsing an invalid name.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum IdentError {
    /// The text is empty.
    #[snafu(display("{kind} is empty; give 1 to {max} characters"))]
    Empty {
        /// The kind of name, for example `host name`.
        kind: &'static str,
        /// The maximum length in characters.
        max: usize,
    },
    /// The text is too long.
    #[snafu(display("{kind} has {length} characters; shorten it to at most {max}"))]
    TooLong {
        /// The kind of name, for example `host name`.
        kind: &'static str,
        /// The length found, in bytes.
        length: usize,
        /// The maximum length in characters.
        max: usize,
    },
    /// The text contains a disallowed character.
    #[snafu(display("{kind} contains {found:?}; use only {allowed}"))]
    BadCharacter {
        /// The kind of name, for example `host name`.
        kind: &'static str,
        /// The first disallowed character.
        found: char,
        /// The allowed characters.
        allowed: &'static str,
    },
}
