use std::sync::Arc;
use std::time::Duration;

use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::StepOutput;

use super::StepRecord;
use super::batch_job::BatchJob;
use super::batch_work::BatchWork;
use super::engine_memory::EngineMemory;
use super::engine_shared::EngineShared;
use super::layer_session::LayerSession;

/// Runs batch after batch until the task is aborted.
pub(super) async fn run_batches(shared: Arc<EngineShared>) {
    loop {
        shared.wait_thawed().await;
        let (started, batch) = take_batch(&shared);
        if batch.is_empty() {
            shared.work.notified().await;
            continue;
        }
        let duration = batch_duration(&shared, &batch);
        if !duration.is_zero() {
            tokio::time::sleep(duration).await;
        }
        shared.wait_thawed().await;
        finish_batch(&shared, started, batch);
        tokio::task::yield_now().await;
    }
}

/// Takes the jobs of the best priority classes, first come first served within a class.
fn take_batch(shared: &EngineShared) -> (u64, Vec<BatchJob>) {
    let mut memory = shared.memory();
    memory.queue.sort_by_key(|job| job.priority);
    let count = memory.queue.len().min(shared.options.max_batch);
    let batch = memory.queue.drain(..count).collect();
    (memory.state.started, batch)
}

fn batch_duration(shared: &EngineShared, batch: &[BatchJob]) -> Duration {
    let options = &shared.options;
    let prompt_tokens: u64 = batch.iter().map(|job| u64::from(job.prompt_tokens)).sum();
    let base_us = options.step_us + prompt_tokens * options.prompt_token_us;
    let slow_factor = shared.faults.borrow().slow_factor.max(1);
    Duration::from_micros(base_us * slow_factor)
}

/// Computes the outputs of a batch, unless the engine crashed in the meantime.
fn finish_batch(shared: &EngineShared, started: u64, batch: Vec<BatchJob>) {
    let mut memory = shared.memory();
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
                // The caller may have gone away; the step counts as run all the same.
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
