/// How a finding is weighed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FindingLevel {
    /// Requests are refused or served by chance, or the configuration is not used.
    Error,
    /// The relay serves requests, but a part of the configuration has no effect or contradicts another one.
    Warning,
}

impl FindingLevel {
    /// Returns the word for printed findings.
    pub const fn as_str(self) -> &'static str {
        match self {
            FindingLevel::Error => "error",
            FindingLevel::Warning => "warning",
        }
    }
}
