use super::ConfigFault;
use super::ConfigPlace;

/// A fault of a configuration and the place where it stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigFinding {
    /// The part of the configuration.
    pub place: ConfigPlace,
    /// What is wrong there.
    pub fault: ConfigFault,
}
