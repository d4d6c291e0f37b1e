use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result;

use serde::Deserialize;
use serde::Serialize;

use crate::route::hash_text;

/// The seed of the hash of identifiers that are not hexadecimal numbers of 64 bits.
const IDENTIFIER_SEED: u64 = 0x7061_7274;

/// The radix of identifiers.
const RADIX: u32 = 16;

/// A part of a prompt that several requests may share, such as a system prompt or a document.
///
/// Callers name the parts of a prompt in order. The last one belongs to a single request or session,
/// the others are shared.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::PromptPart;
///
/// let part = PromptPart::new("knots", "5c1e07a2");
/// assert_eq!(part.to_string(), "5c1e07a2");
/// assert_ne!(part, PromptPart::new("splices", "5c1e07a2"));
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PromptPart {
    /// The hash of the service, as engines of several services run different models.
    service: u64,
    /// The identifier that callers give the part.
    id: u64,
}

impl PromptPart {
    /// Creates the part that the callers of a service name by an identifier, usually a hexadecimal
    /// number; any other text is hashed.
    pub fn new(service: &str, id: &str) -> PromptPart {
        let number = u64::from_str_radix(id, RADIX);
        PromptPart {
            service: hash_text(IDENTIFIER_SEED, service),
            id: number.unwrap_or_else(|_| hash_text(IDENTIFIER_SEED, id)),
        }
    }
}

impl Display for PromptPart {
    /// Formats the identifier as a hexadecimal number.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{:x}", self.id)
    }
}
