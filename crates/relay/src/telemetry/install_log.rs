use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::StdStreamSink;

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
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn queued_lines() -> std::num::NonZeroUsize {
    std::num::NonZeroUsize::new(QUEUED_LINES).unwrap_or(std::num::NonZeroUsize::MIN)
}
