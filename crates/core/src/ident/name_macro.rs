//! The shared implementation of the validated name types.

/// Defines a validated string type with its parser, accessors and serde support.
macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $allowed:literal, $check:expr) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, serde::Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize,
        )]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// The maximum length of the name in characters.
            pub const MAX_LENGTH: usize = 64;

            /// Parses a name.
            ///
            /// # Errors
            ///
            /// Returns an [`IdentError`](crate::ident::IdentError) if the text is empty, too long
            /// or contains a disallowed character.
            pub fn parse(text: &str) -> Result<$name, crate::ident::IdentError> {
                let kind = $kind;
                let max = Self::MAX_LENGTH;
                if text.is_empty() {
                    return Err(crate::ident::IdentError::Empty { kind, max });
                }
                if text.len() > max {
                    let length = text.len();
                    return Err(crate::ident::IdentError::TooLong { kind, length, max });
                }
                let is_allowed: fn(char) -> bool = $check;
                if let Some(found) = text.chars().find(|symbol| !is_allowed(*symbol)) {
                    let allowed = $allowed;
                    return Err(crate::ident::IdentError::BadCharacter { kind, found, allowed });
                }
                Ok($name(text.into()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = crate::ident::IdentError;

            fn try_from(text: String) -> Result<$name, Self::Error> {
                $name::parse(&text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::ident::IdentError;

            fn from_str(text: &str) -> Result<$name, Self::Err> {
                $name::parse(text)
            }
        }
    };
}

pub(super) use define_name;
