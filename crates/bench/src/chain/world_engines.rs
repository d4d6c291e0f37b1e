//! What engines do in a simulation.

use super::chain_event::ChainEvent;
use super::chain_world::ChainWorld;
use super::prompt_work::PromptWork;

/// The time of a hop between engines, in milliseconds.
pub(super) const HOP_MS: f64 = 0.1;

impl ChainWorld<'_> {
    pub(super) fn hop(&mut self, request: usize, part: usize, is_prompt: bool) {
        let Some((index, _, _)) = self.requests[request].chain.get(part).copied() else {
            return;
        };
        let tokens_left = self.requests[request].tokens();
        let engine = &mut self.engines[index];
        match is_prompt {
            true => engine.prompts.push_back(PromptWork {
                request,
                tokens_left,
            }),
            false => engine.writers.push(request),
        }
        self.begin_pass(index);
    }

    pub(super) fn begin_pass(&mut self, index: usize) {
        if let Some(pass_ms) = self.engines[index].begin_pass(self.setup.shape) {
            self.after(pass_ms, ChainEvent::PassEnd(index));
        }
    }

    pub(super) fn end_pass(&mut self, index: usize) {
        let pass = self.engines[index].pass.take().unwrap_or_default();
        for (requests, is_prompt) in [(pass.read, true), (pass.written, false)] {
            for request in requests {
                let chain = &self.requests[request].chain;
                let Some(part) = chain.iter().position(|own| own.0 == index) else {
                    continue;
                };
                if part + 1 < chain.len() {
                    let part = part + 1;
                    self.after(
                        HOP_MS,
                        ChainEvent::Hop {
                            request,
                            part,
                            is_prompt,
                        },
                    );
                } else {
                    self.event(request);
                }
            }
        }
        self.begin_pass(index);
    }

    /// Takes an event of a request, which its next tokens follow.
    pub(super) fn event(&mut self, request: usize) {
        let now = self.now_ms();
        let steps = self.setup.shape.pass_steps;
        let spec = &mut self.requests[request];
        match spec.first {
            Some(_) => spec.longest_gap = spec.longest_gap.max(now - spec.last_event),
            None => spec.first = Some(now),
        }
        spec.last_event = now;
        if spec.is_reading {
            self.end_reading(request);
        }
        let spec = &mut self.requests[request];
        spec.written += steps;
        if spec.written >= spec.answer_tokens {
            let account = spec.account;
            self.tally.served(&self.requests[request], account > 0);
            self.release(request);
            return;
        }
        for (index, _, held) in spec.chain.clone() {
            self.engines[index].used += steps * f64::from(held);
            while self.engines[index].used > self.engines[index].room {
                let Some(newest) = self.engines[index].running.last().copied() else {
                    break;
                };
                self.preempt(newest);
            }
        }
        if self.requests[request].chain.is_empty() {
            return;
        }
        self.after(
            HOP_MS,
            ChainEvent::Hop {
                request,
                part: 0,
                is_prompt: false,
            },
        );
    }

    pub(super) fn end_reading(&mut self, request: usize) {
        let spec = &mut self.requests[request];
        spec.is_reading = false;
        let (entry, prompt) = (spec.entry, f64::from(spec.size.prompt_tokens));
        for (index, _, _) in &self.requests[request].chain {
            let table = &mut self.entries[entry].table;
            table.remove_prefill(&self.ids[*index], prompt);
        }
    }

    /// Takes a running request out of its engines' memory and counts it as lost.
    ///
    /// The real engines read it again, which makes it late in any case.
    pub(super) fn preempt(&mut self, request: usize) {
        self.tally.preempted();
        self.release(request);
    }

    pub(super) fn release(&mut self, request: usize) {
        if self.requests[request].is_reading {
            self.end_reading(request);
        }
        let tokens = self.requests[request].tokens();
        let steps = self.setup.shape.pass_steps;
        // The last tokens were not added to the engines' memory.
        let held_tokens = match self.requests[request].written > 0.0 {
            true => tokens - steps,
            false => tokens,
        };
        let entry = self.requests[request].entry;
        for (index, units, held) in std::mem::take(&mut self.requests[request].chain) {
            let engine = &mut self.engines[index];
            engine.used = (engine.used - held_tokens * f64::from(held)).max(0.0);
            engine.forget(request);
            self.entries[entry]
                .table
                .remove_request(&self.ids[index], units);
        }
        let now = self.clock();
        self.entries[entry].queue.record_release(now);
        self.serve_waiting(entry);
    }
}
