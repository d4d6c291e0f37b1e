use std::collections::VecDeque;

use dandelionroad_core::admit::AdmitConfig;
use dandelionroad_core::admit::AdmitQueue;
use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::route::FlowNode;

use super::Fleet;
use super::sim_clock::MILLI_US;
use super::sim_clock::SECOND_US;
use super::sim_work::SimWork;

/// The least time of a step: a small batch is limited by memory and not by arithmetic.
const LEAST_STEP_US: u64 = 5 * MILLI_US;

/// The time that a full batch takes.
const FULL_STEP_US: u64 = 25 * MILLI_US;

/// The work that fits in the admission queue, in seconds of the engine's rate.
const QUEUE_SECONDS: u64 = 4;

/// The rate in tokens per second for each admitted request.
///
/// An unloaded route of three stages gives a request about 15 to 25 tokens per second; half of that
/// keeps the engine busy while some requests are at other stages.
const TOKENS_PER_SECOND_PER_SLOT: u64 = 10;

/// A fake of an engine that batches continuously, with the admission queue beside it.
///
/// A step takes the time of its work at the engine's rate, but never less than 5 ms. Prompts are
/// computed in chunks, in turn, in at most a quarter of a batch while tokens wait.
pub(super) struct SimEngine {
    pub(super) queue: AdmitQueue,
    pub(super) zone: usize,
    pub(super) units_per_second: u64,
    pub(super) is_alive: bool,
    tokens: VecDeque<SimWork>,
    prompts: VecDeque<SimWork>,
    finishing: Vec<SimWork>,
    is_busy: bool,
}

impl SimEngine {
    pub(super) fn new(node: &FlowNode) -> SimEngine {
        let units_per_second = WorkUnits::default().per_second(node.tokens_per_second);
        let slots = (node.tokens_per_second / TOKENS_PER_SECOND_PER_SLOT).max(8);
        let config = AdmitConfig::new(
            units_per_second * QUEUE_SECONDS,
            slots as u32,
            units_per_second,
        );
        SimEngine {
            queue: AdmitQueue::new(config),
            zone: Fleet::zone_index(&node.zone),
            units_per_second,
            is_alive: true,
            tokens: VecDeque::new(),
            prompts: VecDeque::new(),
            finishing: Vec::new(),
            is_busy: false,
        }
    }

    /// Adds work and returns the duration of the step that it starts, if the engine was idle.
    pub(super) fn push(&mut self, work: SimWork) -> Option<u64> {
        if work.units > WorkUnits::default().generated_token {
            self.prompts.push_back(work);
        } else {
            self.tokens.push_back(work);
        }
        if self.is_busy {
            return None;
        }
        self.start_step()
    }

    /// Ends the step and returns its results and the duration of the next step.
    pub(super) fn end_step(&mut self) -> (Vec<SimWork>, Option<u64>) {
        self.is_busy = false;
        let finished = std::mem::take(&mut self.finishing);
        (finished, self.start_step())
    }

    /// Drops everything; the engine is dead.
    pub(super) fn kill(&mut self) {
        self.is_alive = false;
        self.tokens.clear();
        self.prompts.clear();
        self.finishing.clear();
    }

    fn start_step(&mut self) -> Option<u64> {
        if self.tokens.is_empty() && self.prompts.is_empty() {
            return None;
        }
        let budget = (self.units_per_second * FULL_STEP_US / SECOND_US).max(8);
        let for_prompts = if self.prompts.is_empty() {
            0
        } else {
            budget / 4
        };
        let mut used = 0;
        while used < budget - for_prompts {
            let Some(work) = self.tokens.pop_front() else {
                break;
            };
            used += work.units;
            self.finishing.push(work);
        }
        let chunk = (budget / 4).max(1);
        while used < budget {
            let Some(mut work) = self.prompts.pop_front() else {
                break;
            };
            let part = work.units.min(chunk).min(budget - used);
            used += part;
            work.units -= part;
            if work.units == 0 {
                self.finishing.push(work);
            } else {
                self.prompts.push_back(work);
            }
        }
        self.is_busy = true;
        Some((used * SECOND_US / self.units_per_second).max(LEAST_STEP_US))
    }
}
