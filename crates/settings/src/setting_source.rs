/// A setting's name and its value, from the flag or from the environment variable.
pub(crate) struct SettingSource {
    flag: &'static str,
    /// The value; none if neither the flag nor the variable is set.
    pub(crate) value: Option<String>,
}

impl SettingSource {
    /// Looks up a setting; the flag takes precedence, and an empty variable counts as unset.
    pub(crate) fn find(
        flag: &'static str,
        flag_value: Option<&String>,
        environment: &dyn Fn(&str) -> Option<String>,
    ) -> SettingSource {
        let from_variable = || environment(&variable_name(flag)).filter(|text| !text.is_empty());
        SettingSource {
            flag,
            value: flag_value.cloned().or_else(from_variable),
        }
    }

    /// Returns the flag and its variable, as error messages name them.
    pub(crate) fn label(&self) -> String {
        format!("--{} ({})", self.flag, variable_name(self.flag))
    }
}

/// Returns the name of a flag's environment variable.
pub(crate) fn variable_name(flag: &str) -> String {
    format!("DANDELIONROAD_{}", flag.to_uppercase().replace('-', "_"))
}
