use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::error::SendToChannelError;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::StdStreamSink;

use super::dropped_lines::count_dropped;

/// The log lines that wait for a reader of the standard output at most.
///
/// Lines beyond are dropped, so that a reader that stops reading never blocks a request.
const QUEUED_LINES: usize = 4_096;

/// Sends the log lines of the process to the standard output, one JSON object each.
///
/// # Errors
///
/// Returns the error of the library if the logger can't be built.
pub fn install_log() -> Result<(), spdlog::Error> {
    let stream = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder().capacity(queued_lines()).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(stream)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(handle_error)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .error_handler(handle_error)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Counts a line that was left out; other errors can be told nowhere but on the standard error.
fn handle_error(error: spdlog::Error) {
    match error {
        spdlog::Error::SendToChannel(SendToChannelError::Full, _) => count_dropped(),
        other => eprintln!("log: {other}"),
    }
}

fn queued_lines() -> std::num::NonZeroUsize {
    std::num::NonZeroUsize::new(QUEUED_LINES).unwrap_or(std::num::NonZeroUsize::MIN)
}
