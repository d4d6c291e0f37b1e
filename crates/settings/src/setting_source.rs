/// A setting as it was found: its name, and the value of the flag or of the variable.
pub(crate) struct SettingSource {
    flag: &'static str,
    /// The value, if the flag or the variable is set.
    pub(crate) value: Option<String>,
}

impl SettingSource {
    /// Looks a setting up; an empty variable counts as unset.
    pub(crate) fn find(
        flag: &'static str,
        given: Option<&String>,
        environment: &dyn Fn(&str) -> Option<String>,
    ) -> SettingSource {
        let from_variable = || environment(&variable_name(flag)).filter(|text| !text.is_empty());
        SettingSource {
            flag,
            value: given.cloned().or_else(from_variable),
        }
    }

    /// Returns the flag and the variable as errors name them.
    pub(crate) fn label(&self) -> String {
        format!("--{} ({})", self.flag, variable_name(self.flag))
    }
}

/// Returns the environment variable of a flag.
pub(crate) fn variable_name(flag: &str) -> String {
    format!("DANDELIONROAD_{}", flag.to_uppercase().replace('-', "_"))
}
