use snafu::Snafu;

/// A setting that is missing or invalid.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SettingFault {
    /// A setting without a default is missing.
    #[snafu(display("{setting} is missing; set it to {expected}"))]
    Missing {
        /// The flag and its environment variable.
        setting: String,
        /// The description of a valid value.
        expected: &'static str,
    },
    /// The value of a setting is invalid.
    #[snafu(display("{setting} is {value:?}; set it to {expected}"))]
    Invalid {
        /// The flag and its environment variable.
        setting: String,
        /// The invalid value.
        value: String,
        /// The description of a valid value.
        expected: &'static str,
    },
    /// A secret is missing.
    #[snafu(display(
        "the environment variable {variable} is missing; set it to {expected}; \
         secrets have no flag"
    ))]
    SecretMissing {
        /// The environment variable.
        variable: String,
        /// The description of the secret.
        expected: &'static str,
    },
}
