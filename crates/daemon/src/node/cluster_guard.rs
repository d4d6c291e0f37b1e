//! Refuses connections of processes of other clusters at the internal interface.
//!
//! A process names its cluster when it opens a connection, so that nothing of another cluster is
//! read: neither gossip and probes nor requests. A message need not carry the name.

use dandelionroad_core::ident::EndpointName;
use dandelionroad_settings::NodeSettings;
use hyper::StatusCode;
use jsonrpsee::server::HttpBody;
use jsonrpsee::server::HttpResponse;
use jsonrpsee::ws_client::HeaderValue;
use spdlog::warn;

use crate::telemetry;

use super::logged_names::LoggedNames;

/// The header by which a process names its cluster when it opens a connection to another one.
pub(super) const CLUSTER_HEADER: &str = "x-dandelionroad-cluster";

/// Checks the cluster that a connection names, and remembers which refusals were logged.
#[derive(Debug)]
pub(super) struct ClusterGuard {
    cluster: String,
    /// The other clusters that were named in the log.
    logged: LoggedNames,
}

impl ClusterGuard {
    /// Creates the guard of a process of `cluster`.
    pub(super) fn new(cluster: &str) -> ClusterGuard {
        ClusterGuard {
            cluster: cluster.to_owned(),
            logged: LoggedNames::default(),
        }
    }

    /// Returns the answer to a connection that names another cluster, or `None` if it names the
    /// cluster of this process.
    ///
    /// A connection without the name comes from a version that does not send it, and belongs to
    /// the default cluster.
    pub(super) fn refuse(&self, named: Option<&HeaderValue>) -> Option<HttpResponse> {
        let named = match named {
            None => NodeSettings::DEFAULT_CLUSTER,
            Some(value) => value
                .to_str()
                .ok()
                .filter(|name| EndpointName::parse(name).is_ok())
                .unwrap_or("(an invalid name)"),
        };
        if named == self.cluster {
            return None;
        }
        telemetry::record_refused_connection();
        if self.logged.insert(named) {
            warn!(
                "gossip: a process of cluster {named} connects to this process of cluster {}; its \
                 connections are refused",
                self.cluster
            );
        }
        let text = format!("this process belongs to cluster {}", self.cluster);
        let mut answer = HttpResponse::new(HttpBody::from(text));
        *answer.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        Some(answer)
    }
}
