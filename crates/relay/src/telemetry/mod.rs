/*!
Logs on the standard output and metrics on an address of the settings.
*/

mod dropped_lines;
mod install_log;
mod logged_age;
mod metrics_server;
mod relay_metrics;
mod request_log;

pub use self::dropped_lines::dropped_lines;
pub use self::dropped_lines::report_dropped_lines;
pub use self::install_log::install_log;
pub(crate) use self::logged_age::logged_age;
pub use self::metrics_server::serve_metrics;
pub use self::relay_metrics::RelayMetrics;
pub use self::request_log::RequestLog;
