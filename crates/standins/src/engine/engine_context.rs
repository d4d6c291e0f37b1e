use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelionroad_clients::engine::EngineState;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::EngineFaults;
use super::EngineOptions;
use super::EngineStats;
use super::engine_memory::EngineMemory;
use super::prefix_cache::PrefixCache;

/// The state shared by the listener, the routes and the batch loop of an engine stand-in.
pub(super) struct EngineContext {
    pub(super) options: EngineOptions,
    pub(super) faults: watch::Sender<EngineFaults>,
    /// The start time of the engine in Unix milliseconds; a crash increases it by 1.
    pub(super) started: watch::Sender<u64>,
    /// Wakes the batch loop when a job is queued.
    pub(super) work: Notify,
    memory: Mutex<EngineMemory>,
}

impl EngineContext {
    /// Creates the state of an engine that was started at `started` and holds the model of its
    /// options.
    pub(super) fn new(options: EngineOptions, started: u64) -> EngineContext {
        let state = EngineState {
            model: options.model.clone(),
            version: options.version,
            range: options.range,
            ready: !options.model.is_empty(),
            started,
        };
        EngineContext {
            faults: watch::Sender::new(options.faults.clone()),
            started: watch::Sender::new(started),
            work: Notify::new(),
            memory: Mutex::new(EngineMemory {
                state,
                fence: 0,
                model_changes: 0,
                sessions: Vec::new(),
                queue: Vec::new(),
                cache: PrefixCache::default(),
                stats: EngineStats::default(),
                step_records: Vec::new(),
            }),
            options,
        }
    }

    /// Locks the mutable state.
    pub(super) fn memory(&self) -> MutexGuard<'_, EngineMemory> {
        self.memory
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    pub(super) async fn wait_while_frozen(&self) {
        let mut faults = self.faults.subscribe();
        // The wait can't fail, since `self` owns the sender.
        let _ = faults.wait_for(|faults| !faults.frozen).await;
    }

    /// Clears sessions, queue and prefix cache, and makes the listener close every connection.
    pub(super) fn crash(&self) {
        let mut memory = self.memory();
        memory.state.started += 1;
        memory.stats.crashes += 1;
        memory.sessions.clear();
        memory.queue.clear();
        memory.cache = PrefixCache::default();
        self.started.send_replace(memory.state.started);
    }
}
