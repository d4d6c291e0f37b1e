use std::str::FromStr;

/// What an entry knows of the requests that other entries have at the same engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharingPolicy {
    /// Nothing: each entry counts its own requests.
    Alone,
    /// A fixed share of each engine's memory for each entry, without any exchange.
    FixedShares,
    /// Reports of the others, each 200 ms within a zone and each 400 ms beyond; all fill what is free.
    Reports,
    /// The same reports; what is free is divided until the next one.
    DividedReports,
    /// The truth at each moment, which no exchange provides.
    Truth,
}

impl SharingPolicy {
    /// All policies.
    pub const ALL: [SharingPolicy; 5] = [
        SharingPolicy::Alone,
        SharingPolicy::FixedShares,
        SharingPolicy::Reports,
        SharingPolicy::DividedReports,
        SharingPolicy::Truth,
    ];

    /// Returns the name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            SharingPolicy::Alone => "alone",
            SharingPolicy::FixedShares => "fixed-shares",
            SharingPolicy::Reports => "reports",
            SharingPolicy::DividedReports => "divided-reports",
            SharingPolicy::Truth => "truth",
        }
    }
}

impl FromStr for SharingPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<SharingPolicy, String> {
        let found = SharingPolicy::ALL
            .into_iter()
            .find(|policy| policy.as_str() == text);
        found.ok_or_else(|| format!("unknown policy {text}"))
    }
}
