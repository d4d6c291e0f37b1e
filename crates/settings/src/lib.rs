/*!
The settings of the daemon: flags over environment variables over defaults, checked before anything
starts.
*/

mod engine_kind;
mod node_role;
mod node_settings;

pub use self::engine_kind::EngineKind;
pub use self::node_role::NodeRole;
pub use self::node_settings::NodeSettings;
