use std::str::FromStr;

/// How entries share their loads at the engines that they use in common.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharingPolicy {
    /// No exchange: each entry counts only its own requests.
    Alone,
    /// No exchange: each entry uses an equal, fixed share of each engine's KV memory.
    FixedShares,
    /// Load reports every 100 ms within an availability zone and every 400 ms from other zones; each
    /// entry may use all memory that they show as free.
    Reports,
    /// The same reports; the free memory is divided among the entries until the next report.
    DividedReports,
    /// The current loads of all entries, without delay, which no exchange of messages provides.
    Truth,
}

impl SharingPolicy {
    /// All sharing policies, in the order in which the benchmark simulates them by default.
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
        found.ok_or_else(|| {
            format!(
                "unknown sharing policy {text:?}; use alone, fixed-shares, reports, \
                 divided-reports or truth"
            )
        })
    }
}
