use std::fmt::Display;
use std::fmt::Formatter;

use super::FindingLevel;

/// What is wrong at a place of a configuration.
///
/// Times are in milliseconds. No fault holds a key, and its text names accounts by position only.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigFault {
    /// The version is not above the version in force, so no process adopts the configuration.
    OldVersion {
        /// The version of the configuration.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// A host and prefix that an earlier route has as well; either route may be found.
    DuplicateRoute {
        /// The position of the earlier route.
        first: usize,
    },
    /// A prefix that doesn't begin and end with a slash, or that has a query or fragment; no path matches it.
    UnmatchedPrefix,
    /// A host with a port; the port of a request is removed before hosts are compared.
    HostWithPort,
    /// A prefix with which the smallest head of a request exceeds the limit.
    LongPrefix {
        /// The size of that head, in bytes.
        head_bytes: usize,
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// A time-out of zero, at which each request is late when it arrives.
    ZeroTimeout,
    /// A target time above the time-out.
    TargetAboveTimeout {
        /// The target time.
        target_ms: u64,
        /// The time-out.
        timeout_ms: u64,
    },
    /// A target gap between events above the time-out.
    GapAboveTimeout {
        /// The target gap.
        gap_ms: u64,
        /// The time-out.
        timeout_ms: u64,
    },
    /// Several attempts on a route whose requests run at most once.
    UnusedAttempts {
        /// The number of attempts.
        attempts: u32,
    },
    /// A route without a service.
    NoService,
    /// A route whose weights are all zero; its first service gets all requests.
    OnlyZeroWeights,
    /// A share of weight zero, which gets no requests.
    ZeroWeight,
    /// A share of a service that the configuration lacks.
    UnknownService {
        /// The name of the service.
        service: String,
        /// Whether requests go to the share.
        is_used: bool,
    },
    /// A service whose name another service has as well; either may be found.
    DuplicateService,
    /// A service to which no route sends requests.
    UnusedService,
    /// A kind that can't hold one layer, so that its engines stay empty.
    SmallKind {
        /// The layers of the model.
        layers: u16,
    },
    /// No kind of a model service can hold a layer.
    NoUsableKind,
    /// A key that another account holds as well; either account may be charged.
    SharedKey {
        /// The position of the other account.
        other: usize,
    },
    /// A key that the account lists more than once.
    RepeatedKey,
    /// An empty key, or one with white space at an end, which no request can present.
    UnusableKey,
    /// An account without keys.
    NoKeys,
    /// No accounts, so that routes that are not public need no key.
    NoAccounts,
    /// A priority that engines don't know.
    LowPriority {
        /// The priority.
        priority: u8,
    },
    /// More distinct priorities than engines tell apart.
    ManyPriorities {
        /// The number of priorities.
        count: usize,
    },
    /// A time-out for the head of a request above the shortest time-out of a route.
    HeadAboveTimeout {
        /// The time-out for the head.
        header_ms: u64,
        /// The position of the route.
        route: usize,
        /// The time-out of the route.
        timeout_ms: u64,
    },
}

impl ConfigFault {
    /// Returns how the fault is weighed.
    pub fn level(&self) -> FindingLevel {
        match self {
            ConfigFault::OldVersion { .. }
            | ConfigFault::DuplicateRoute { .. }
            | ConfigFault::UnmatchedPrefix
            | ConfigFault::HostWithPort
            | ConfigFault::LongPrefix { .. }
            | ConfigFault::ZeroTimeout
            | ConfigFault::NoService
            | ConfigFault::UnknownService { is_used: true, .. }
            | ConfigFault::DuplicateService
            | ConfigFault::NoUsableKind
            | ConfigFault::SharedKey { .. } => FindingLevel::Error,
            ConfigFault::TargetAboveTimeout { .. }
            | ConfigFault::GapAboveTimeout { .. }
            | ConfigFault::UnusedAttempts { .. }
            | ConfigFault::OnlyZeroWeights
            | ConfigFault::ZeroWeight
            | ConfigFault::UnknownService { is_used: false, .. }
            | ConfigFault::UnusedService
            | ConfigFault::SmallKind { .. }
            | ConfigFault::RepeatedKey
            | ConfigFault::UnusableKey
            | ConfigFault::NoKeys
            | ConfigFault::NoAccounts
            | ConfigFault::LowPriority { .. }
            | ConfigFault::ManyPriorities { .. }
            | ConfigFault::HeadAboveTimeout { .. } => FindingLevel::Warning,
        }
    }
}

impl Display for ConfigFault {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            ConfigFault::OldVersion { version, in_force } => write!(
                out,
                "version {version} is not above {in_force}, the version in force, and is never adopted"
            ),
            ConfigFault::DuplicateRoute { first } => write!(
                out,
                "same host and prefix as the route at position {first}; either may be used"
            ),
            ConfigFault::UnmatchedPrefix => out.write_str(
                "no path matches this prefix; it must begin and end with a slash, without ? and #",
            ),
            ConfigFault::HostWithPort => {
                out.write_str("no request matches this host; leave out the port")
            }
            ConfigFault::LongPrefix {
                head_bytes,
                limit_bytes,
            } => write!(
                out,
                "the smallest request head has {head_bytes} bytes, above the limit of {limit_bytes}"
            ),
            ConfigFault::ZeroTimeout => {
                out.write_str("a time-out of 0 ms lets no request be served")
            }
            ConfigFault::TargetAboveTimeout {
                target_ms,
                timeout_ms,
            } => write!(
                out,
                "the target time of {target_ms} ms is above the time-out of {timeout_ms} ms"
            ),
            ConfigFault::GapAboveTimeout { gap_ms, timeout_ms } => write!(
                out,
                "the target gap of {gap_ms} ms is above the time-out of {timeout_ms} ms"
            ),
            ConfigFault::UnusedAttempts { attempts } => write!(
                out,
                "{attempts} attempts, but the requests run at most once; no attempt follows a run"
            ),
            ConfigFault::NoService => out.write_str("no service; all requests are refused"),
            ConfigFault::OnlyZeroWeights => {
                out.write_str("all weights are below 1; the first service gets all requests")
            }
            ConfigFault::ZeroWeight => out.write_str("a weight below 1 gets no requests"),
            ConfigFault::UnknownService { service, is_used } => {
                let effect = match is_used {
                    true => "its requests are refused",
                    false => "no requests go to it",
                };
                write!(out, "no service has the name '{service}'; {effect}")
            }
            ConfigFault::DuplicateService => {
                out.write_str("several services have this name; any of them may be used")
            }
            ConfigFault::UnusedService => out.write_str("no route sends requests to this service"),
            ConfigFault::SmallKind { layers } => write!(
                out,
                "the memory holds none of the {layers} layers; its engines stay empty"
            ),
            ConfigFault::NoUsableKind => {
                out.write_str("no kind of accelerators can hold a layer of the model")
            }
            ConfigFault::SharedKey { other } => write!(
                out,
                "a key is also held by the account at position {other}; either may be charged"
            ),
            ConfigFault::RepeatedKey => out.write_str("a key is listed more than once"),
            ConfigFault::UnusableKey => out.write_str(
                "no request can present a key that is empty or has white space at an end",
            ),
            ConfigFault::NoKeys => {
                out.write_str("no keys; the account can send no requests with a key")
            }
            ConfigFault::NoAccounts => {
                out.write_str("no accounts; routes that are not public need no key")
            }
            ConfigFault::LowPriority { priority } => {
                write!(
                    out,
                    "priority {priority} is sent to engines as 9, the lowest"
                )
            }
            ConfigFault::ManyPriorities { count } => {
                write!(
                    out,
                    "{count} distinct priorities; engines tell 10 apart, 0 to 9"
                )
            }
            ConfigFault::HeadAboveTimeout {
                header_ms,
                route,
                timeout_ms,
            } => write!(
                out,
                "the time-out of {header_ms} ms for a request's head is above that of the route at \
                 position {route}, {timeout_ms} ms"
            ),
        }
    }
}
