use std::sync::Arc;
use std::time::Duration;

use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::StepOutput;

use super::StepRecord;
use super::batch_job::BatchJob;
use super::batch_work::BatchWork;
use super::engine_context::EngineContext;
use super::engine_memory::EngineMemory;
use super::layer_session::LayerSession;

/// Runs batch after batch until the task is aborted.
pub(super) async fn run_batches(context: Arc<EngineContext>) {
    loop {
        context.wait_while_frozen().await;
        let (started, batch) = take_batch(&context);
        if batch.is_empty() {
            context.work.notified().await;
            continue;
        }
        let duration = batch_duration(&context, &batch);
        if !duration.is_zero() {
            tokio::time::sleep(duration).await;
        }
        context.wait_while_frozen().await;
        finish_batch(&context, started, batch);
        tokio::task::yield_now().await;
    }
}

/// Takes up to `max_batch` jobs off the queue by priority class, in order of arrival within a
/// class.
///
/// Also returns the start time of the engine, to detect a crash while the batch runs.
fn take_batch(context: &EngineContext) -> (u64, Vec<BatchJob>) {
    let mut memory = context.memory();
    memory.queue.sort_by_key(|job| job.priority);
    let count = memory.queue.len().min(context.options.max_batch);
    let batch = memory.queue.drain(..count).collect();
    (memory.state.started, batch)
}

fn batch_duration(context: &EngineContext, batch: &[BatchJob]) -> Duration {
    let options = &context.options;
    let prompt_tokens: u64 = batch.iter().map(|job| u64::from(job.prompt_tokens)).sum();
    let base_us = options.step_us + prompt_tokens * options.prompt_token_us;
    let slow_factor = context.faults.borrow().slow_factor.max(1);
    Duration::from_micros(base_us * slow_factor)
}

/// Computes and sends the outputs of a batch, or drops the batch if the engine crashed meanwhile.
fn finish_batch(context: &EngineContext, started: u64, batch: Vec<BatchJob>) {
    let mut memory = context.memory();
    if memory.state.started != started {
        return;
    }
    memory.stats.batches += 1;
    for mut job in batch {
        memory.stats.prompt_tokens += u64::from(job.prompt_tokens);
        job.prompt_tokens = 0;
        match job.work {
            BatchWork::Step { step, reply } => {
                let output = run_step(&mut memory, &step);
                // The step has run even if its caller has disconnected.
                let _ = reply.send(output);
            }
            BatchWork::Generate {
                mut session,
                tokens,
            } => {
                if tokens.is_closed() {
                    continue;
                }
                let token = session.next_token();
                let record = StepRecord {
                    session: job.session.clone(),
                    position: token.position,
                    range: memory.state.range,
                };
                memory.record_step(record);
                let is_end = token.is_end;
                if tokens.send(token).is_ok() && !is_end {
                    job.work = BatchWork::Generate { session, tokens };
                    memory.queue.push(job);
                }
            }
        }
    }
}

fn run_step(memory: &mut EngineMemory, step: &EngineStep) -> Result<StepOutput, String> {
    let version = memory.state.version;
    let found = memory
        .sessions
        .binary_search_by(|(name, _)| name.as_str().cmp(&step.session));
    let index = found.unwrap_or_else(|index| {
        let session = LayerSession::new(version, step.range);
        memory
            .sessions
            .insert(index, (step.session.clone(), session));
        index
    });
    let output = memory.sessions[index].1.run(step);
    match output {
        Ok(_) => memory.record_step(StepRecord {
            session: step.session.clone(),
            position: step.position,
            range: step.range,
        }),
        Err(_) => memory.stats.rejected_steps += 1,
    }
    output
}
