use dandelionroad_core::member::MemberRole;
use serde::Deserialize;
use serde::Serialize;

/// One process of the system on the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// The name of the process in its slot on the host.
    pub name: String,
    /// Whether the process is an endpoint or an entry.
    pub role: MemberRole,
    /// The host that the process runs on.
    pub host: String,
    /// The availability zone of the host.
    pub zone: String,
    /// The internal address of the process, as `ip:port`.
    pub address: String,
    /// Whether the platform is taking the host out of service, so that its processes have to drain.
    pub leaving: bool,
}
