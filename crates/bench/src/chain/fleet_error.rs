use std::path::PathBuf;

use snafu::Snafu;

/// Why a fleet file can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum FleetError {
    /// It can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// It is no fleet.
    #[snafu(display("{} is no fleet: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: toml::de::Error,
    },
}
