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

/// The capacity of the queue of log lines to the standard output.
///
/// When it is full, new lines are dropped, so that a stalled reader never blocks a request.
const LINE_QUEUE_CAPACITY: usize = 4_096;

/// Installs a global logger that writes each line to the standard output as a JSON object.
///
/// # Errors
///
/// Returns the error of the library if the logger can't be built.
pub fn install_log() -> Result<(), spdlog::Error> {
    let stream = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder()
        .capacity(queue_capacity())
        .build_arc()?;
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

/// Counts a line that the full queue dropped; other errors go to the standard error, as the log may not
/// work.
fn handle_error(error: spdlog::Error) {
    match error {
        spdlog::Error::SendToChannel(SendToChannelError::Full, _) => count_dropped(),
        other => eprintln!("log: {other}"),
    }
}

fn queue_capacity() -> std::num::NonZeroUsize {
    std::num::NonZeroUsize::new(LINE_QUEUE_CAPACITY).unwrap_or(std::num::NonZeroUsize::MIN)
}
