use snafu::Snafu;

/// One fault of the settings.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SettingFault {
    /// A setting without default is missing.
    #[snafu(display("{setting} is missing; set it to {expected}"))]
    Missing {
        /// The flag and the variable.
        setting: String,
        /// What the setting takes.
        expected: &'static str,
    },
    /// A value can't be used.
    #[snafu(display("{setting} is {value:?}; set it to {expected}"))]
    Invalid {
        /// The flag and the variable.
        setting: String,
        /// The value.
        value: String,
        /// What the setting takes.
        expected: &'static str,
    },
    /// A secret is missing.
    #[snafu(display(
        "the environment variable {variable} is missing; set it to {expected}, \
         there is no flag for secrets"
    ))]
    SecretMissing {
        /// The variable.
        variable: String,
        /// What the secret is.
        expected: &'static str,
    },
}
