//! The engines of a simulation: stages, passes and the events that they send.

use super::chain_event::ChainEvent;
use super::chain_world::ChainWorld;
use super::prefill_work::PrefillWork;

/// The network delay of a hop between two processes, in milliseconds.
pub(super) const HOP_DELAY_MS: f64 = 0.1;

impl ChainWorld<'_> {
    /// Queues a prompt, or the next tokens of a request, at the engine of a stage.
    ///
    /// Does nothing for a request that no longer runs.
    pub(super) fn arrive_at_stage(&mut self, request: usize, stage: usize, is_prompt: bool) {
        let Some((index, _, _)) = self.requests[request].stages.get(stage).copied() else {
            return;
        };
        let tokens_left = self.requests[request].tokens();
        let engine = &mut self.engines[index];
        match is_prompt {
            true => engine.prefill_queue.push_back(PrefillWork {
                request,
                tokens_left,
            }),
            false => engine.decode_queue.push(request),
        }
        self.begin_pass(index);
    }

    /// Starts a pass of an engine if it is idle and has work.
    pub(super) fn begin_pass(&mut self, index: usize) {
        if let Some(pass_ms) = self.engines[index].begin_pass(self.setup.shape) {
            self.schedule_after(pass_ms, ChainEvent::PassEnd(index));
        }
    }

    /// Ends a pass: sends its requests to their next stages and starts the next pass.
    pub(super) fn end_pass(&mut self, index: usize) {
        let pass = self.engines[index].pass.take().unwrap_or_default();
        for (requests, is_prompt) in [(pass.prefilled, true), (pass.decoded, false)] {
            for request in requests {
                let chain = &self.requests[request].stages;
                let Some(stage) = chain.iter().position(|own| own.0 == index) else {
                    continue;
                };
                if stage + 1 < chain.len() {
                    let stage = stage + 1;
                    self.schedule_after(
                        HOP_DELAY_MS,
                        ChainEvent::Hop {
                            request,
                            stage,
                            is_prompt,
                        },
                    );
                } else {
                    self.record_event(request);
                }
            }
        }
        self.begin_pass(index);
    }

    /// Records an event of a request, then ends the request or starts on its next tokens.
    ///
    /// The new tokens take KV memory at all stages. An engine whose memory is exceeded preempts its newest
    /// requests.
    pub(super) fn record_event(&mut self, request: usize) {
        let now = self.now_ms();
        let steps = self.setup.shape.pass_steps;
        let state = &mut self.requests[request];
        match state.first_event_ms {
            Some(_) => state.longest_gap_ms = state.longest_gap_ms.max(now - state.last_event_ms),
            None => state.first_event_ms = Some(now),
        }
        state.last_event_ms = now;
        if state.is_prefilling {
            self.end_prefill(request);
        }
        let state = &mut self.requests[request];
        state.generated_tokens += steps;
        if state.generated_tokens >= state.answer_tokens {
            let account = state.account;
            self.tally
                .record_served(&self.requests[request], account > 0);
            self.release_request(request);
            return;
        }
        for (index, _, layers) in state.stages.clone() {
            self.engines[index].kv_used += steps * f64::from(layers);
            while self.engines[index].kv_used > self.engines[index].kv_capacity {
                let Some(newest) = self.engines[index].running.last().copied() else {
                    break;
                };
                self.preempt(newest);
            }
        }
        if self.requests[request].stages.is_empty() {
            return;
        }
        self.schedule_after(
            HOP_DELAY_MS,
            ChainEvent::Hop {
                request,
                stage: 0,
                is_prompt: false,
            },
        );
    }

    /// Removes a request's prompt from the prefill work that its entry counts at each engine.
    pub(super) fn end_prefill(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.is_prefilling = false;
        let (entry, prompt) = (state.entry, f64::from(state.size.prompt_tokens));
        for (index, _, _) in &self.requests[request].stages {
            let table = &mut self.entries[entry].table;
            table.remove_prefill(&self.engine_ids[*index], prompt);
        }
    }

    /// Removes a running request from its engines and counts it as preempted.
    ///
    /// Real engines repeat its prefill, which makes it late in any case.
    pub(super) fn preempt(&mut self, request: usize) {
        self.tally.record_preempted();
        self.release_request(request);
    }

    /// Releases the KV memory of a request at its engines and in its entry's table, and serves waiting
    /// requests.
    pub(super) fn release_request(&mut self, request: usize) {
        if self.requests[request].is_prefilling {
            self.end_prefill(request);
        }
        let tokens = self.requests[request].tokens();
        let steps = self.setup.shape.pass_steps;
        // The tokens of the last event are not counted in the engines' memory.
        let held_tokens = match self.requests[request].generated_tokens > 0.0 {
            true => tokens - steps,
            false => tokens,
        };
        let entry = self.requests[request].entry;
        for (index, units, layers) in std::mem::take(&mut self.requests[request].stages) {
            let engine = &mut self.engines[index];
            engine.kv_used = (engine.kv_used - held_tokens * f64::from(layers)).max(0.0);
            engine.remove_request(request);
            self.entries[entry]
                .table
                .remove_request(&self.engine_ids[index], units);
        }
        let now = self.now();
        self.entries[entry].queue.record_release(now);
        self.serve_waiting(entry);
    }
}
