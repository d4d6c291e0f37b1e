//! Restarts of background tasks that panic.

use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::time::RestartPause;
use tokio::task::JoinSet;

use super::NodeState;

/// Runs a background task, and starts it again after a growing pause whenever it panics or ends.
///
/// Without it, a process would go on as ready without the task: nobody would follow the list of engines, say,
/// or give orders. The task ends with the returned future.
pub(super) async fn supervise<F: Future<Output = ()> + 'static>(
    state: Rc<NodeState>,
    name: &'static str,
    start: impl Fn() -> F,
) {
    let mut pause = RestartPause::new();
    loop {
        let started = state.clock.now();
        // A set aborts its task when it is dropped, unlike a handle.
        let mut task = JoinSet::new();
        task.spawn_local(start());
        let cause = match task.join_next().await {
            Some(Err(error)) => panic_text(error),
            Some(Ok(())) | None => "it has ended".to_owned(),
        };
        let pause_ms = pause.next_ms(state.clock.now().since(started));
        state.metrics.count_task_failure(name);
        spdlog::error!("node: background task failed, starting it again: {cause}", kv: {
            task = name,
            pause_ms = pause_ms,
        });
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn panic_text(error: tokio::task::JoinError) -> String {
    if !error.is_panic() {
        return error.to_string();
    }
    let payload = error.into_panic();
    let text = payload.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| payload.downcast_ref::<&str>().copied());
    format!("panic: {}", text.unwrap_or("without a message"))
}
