use snafu::Snafu;

/// A name that breaks the rules of its type.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum IdentError {
    /// The text is empty.
    #[snafu(display("{what} is empty; give 1 to {max} characters"))]
    Empty {
        /// Which kind of name was parsed.
        what: &'static str,
        /// The greatest length in characters.
        max: usize,
    },
    /// The text is too long.
    #[snafu(display("{what} has {length} characters; shorten it to at most {max}"))]
    TooLong {
        /// Which kind of name was parsed.
        what: &'static str,
        /// The length found, in bytes.
        length: usize,
        /// The greatest length in characters.
        max: usize,
    },
    /// The text contains a character that is not allowed.
    #[snafu(display("{what} contains {found:?}; use only {allowed}"))]
    BadCharacter {
        /// Which kind of name was parsed.
        what: &'static str,
        /// The first character that is not allowed.
        found: char,
        /// The characters that are allowed.
        allowed: &'static str,
    },
}
