use dandelionroad_core::admit::AdmitConfig;
use dandelionroad_core::admit::AdmitQueue;
use dandelionroad_core::admit::StepQueue;
use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::route::FlowNode;

use super::Fleet;
use super::sim_clock::MILLI_US;
use super::sim_clock::SECOND_US;
use super::sim_work::SimWork;

/// The minimum time of a step: memory access, not arithmetic, limits a small batch.
const MIN_STEP_US: u64 = 5 * MILLI_US;

/// The time of a step with a full batch.
const FULL_STEP_US: u64 = 10 * MILLI_US;

/// The capacity of the admission queue, in seconds of work at the engine's rate.
const QUEUE_SECONDS: u64 = 4;

/// The window in which the step queue tracks the accounts' usage, in seconds of work at the engine's rate.
const USAGE_WINDOW_SECONDS: u64 = 4;

/// The rate of an engine for each of its slots, in tokens per second.
///
/// More slots lengthen the time between tokens, and fewer leave engines idle while requests are at
/// other stages; `docs/policy.md` has the figures.
const TOKENS_PER_SECOND_PER_SLOT: u64 = 10;

/// A simulated engine with continuous batching, and the daemon process beside it.
///
/// The daemon admits requests and orders their work with the queues of the core. A step takes the time
/// of its work at the engine's rate, at least 5 ms. Prompts are prefilled in chunks of at most 25%
/// of a batch.
pub(super) struct SimEngine {
    pub(super) queue: AdmitQueue,
    pub(super) zone: usize,
    pub(super) units_per_second: u64,
    pub(super) is_alive: bool,
    /// The work that waits for a step.
    steps: StepQueue<(AccountName, SimWork)>,
    /// The work that the current step finishes.
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
            steps: StepQueue::new(units_per_second * USAGE_WINDOW_SECONDS),
            finishing: Vec::new(),
            is_busy: false,
        }
    }

    /// Adds work; if the engine was idle, starts a step and returns its duration in microseconds.
    pub(super) fn push(&mut self, account: &AccountName, work: SimWork) -> Option<u64> {
        self.push_step(account.clone(), work);
        if self.is_busy {
            return None;
        }
        self.start_step()
    }

    /// Ends the current step and starts the next one; returns the finished work and the duration of the
    /// next step in microseconds.
    pub(super) fn end_step(&mut self) -> (Vec<SimWork>, Option<u64>) {
        self.is_busy = false;
        let finished = std::mem::take(&mut self.finishing);
        (finished, self.start_step())
    }

    /// Simulates the loss of the engine: drops all its work.
    pub(super) fn kill(&mut self) {
        self.is_alive = false;
        self.steps = StepQueue::new(0);
        self.finishing.clear();
    }

    /// Returns the work of a full batch, in work units.
    fn batch_units(&self) -> u64 {
        (self.units_per_second * FULL_STEP_US / SECOND_US).max(8)
    }

    /// Returns the maximum work of a chunk, in work units.
    fn chunk_units(&self) -> u64 {
        (self.batch_units() / 4).max(WorkUnits::default().generated_token)
    }

    fn push_step(&mut self, account: AccountName, work: SimWork) {
        let units = work.units.min(self.chunk_units());
        self.steps.push(&account.clone(), 1, units, (account, work));
    }

    /// Starts a step with the next work; returns its duration in microseconds, none without work.
    fn start_step(&mut self) -> Option<u64> {
        let mut used = 0;
        let chunk = self.chunk_units();
        while used < self.batch_units() {
            let Some((account, mut work)) = self.steps.pop() else {
                break;
            };
            let part = work.units.min(chunk);
            used += part;
            work.units -= part;
            if work.units == 0 {
                self.finishing.push(work);
            } else {
                self.push_step(account, work);
            }
        }
        self.is_busy = used > 0;
        let duration_us = used * SECOND_US / self.units_per_second;
        self.is_busy.then_some(duration_us.max(MIN_STEP_US))
    }
}
