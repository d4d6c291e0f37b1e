/*!
The settings of the daemon, read from flags and environment variables.

A flag takes precedence over its environment variable, and the variable over the default. All faults
are reported together before the process starts, so that an operator can correct them in one go.

The variable of a flag is the flag's name in upper case after `DANDELIONROAD_`: the flag
`--table-url` has the variable `DANDELIONROAD_TABLE_URL`. Secrets have a variable but no flag.

```
use dandelionroad_settings::EntryFlags;

let flags = EntryFlags {
    name: Some("entry-1".to_owned()),
    ..EntryFlags::default()
};
let error = flags.read(&|_| None).unwrap_err();
assert!(error.to_string().contains("--zone (DANDELIONROAD_ZONE)"));
assert!(error.to_string().contains("--table-url (DANDELIONROAD_TABLE_URL)"));
```
*/

mod common_flags;
mod endpoint_flags;
mod engine_kind;
mod entry_flags;
mod log_format;
mod log_level;
mod node_role;
mod node_settings;
mod setting_fault;
mod setting_source;
mod settings_error;
mod settings_reader;
mod telemetry_exporter;

pub use self::endpoint_flags::EndpointFlags;
pub use self::engine_kind::EngineKind;
pub use self::entry_flags::EntryFlags;
pub use self::log_format::LogFormat;
pub use self::log_level::LogLevel;
pub use self::node_role::NodeRole;
pub use self::node_settings::NodeSettings;
pub use self::setting_fault::SettingFault;
pub use self::settings_error::SettingsError;
pub use self::telemetry_exporter::TelemetryExporter;
