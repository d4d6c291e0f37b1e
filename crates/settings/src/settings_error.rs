use std::fmt;

use super::SettingFault;

/// The error for missing or invalid settings, with all faults of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The faults, in the order in which the settings are read.
    pub faults: Vec<SettingFault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.faults.len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(formatter, "the settings have {count} {noun}:")?;
        for fault in &self.faults {
            write!(formatter, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
