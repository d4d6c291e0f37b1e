use std::path::PathBuf;

use snafu::Snafu;

/// An error of reading a fleet file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum FleetError {
    /// The file can't be read.
    #[snafu(display("can't read the fleet file {}: {source}", path.display()))]
    Unreadable {
        /// The path of the file, as given to [`FleetFile::read`](super::FleetFile::read).
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, lacks a key or has an unknown one.
    #[snafu(display("invalid fleet file {}: {source}", path.display()))]
    Malformed {
        /// The path of the file, as given to [`FleetFile::read`](super::FleetFile::read).
        path: PathBuf,
        /// The error of the parser, with line and column.
        source: toml::de::Error,
    },
}
