use std::sync::Arc;

use dandelionroad_settings::LogFormat;
use dandelionroad_settings::LogLevel;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::FullFormatter;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStreamSink;

/// Installs the default logger, which writes to standard error.
///
/// Lines that concern a request carry its identifier in the field `request`.
///
/// # Errors
///
/// Returns the error of the library if the logger can't be built.
pub fn install_logs(level: LogLevel, format: LogFormat) -> Result<(), spdlog::Error> {
    let level = match level {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warn => Level::Warn,
        LogLevel::Error => Level::Error,
    };
    let builder = StdStreamSink::builder().stderr();
    let sink = match format {
        LogFormat::Json => builder.formatter(JsonFormatter::new()).build_arc(),
        LogFormat::Text => builder.formatter(FullFormatter::new()).build_arc(),
    }?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
