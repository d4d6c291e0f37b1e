/*!
Logs and metrics of a relay process.

Log lines are JSON objects on the standard output. They pass through a bounded queue that drops lines
when the reader is too slow, so that logging never delays a request. Metrics are served in the
Prometheus text format on an address from the settings.
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
