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

/// What the listener, the routes and the batch loop of an engine stand-in share.
pub(super) struct EngineShared {
    /// The properties.
    pub(super) options: EngineOptions,
    /// The fault switches.
    pub(super) faults: watch::Sender<EngineFaults>,
    /// The start of the engine, which rises with each crash.
    pub(super) started: watch::Sender<u64>,
    /// Wakes the batch loop.
    pub(super) work: Notify,
    memory: Mutex<EngineMemory>,
}

impl EngineShared {
    /// Creates the state of an engine that has loaded what its options name.
    pub(super) fn new(options: EngineOptions, started: u64) -> EngineShared {
        let state = EngineState {
            model: options.model.clone(),
            version: options.version,
            range: options.range,
            ready: !options.model.is_empty(),
            started,
        };
        EngineShared {
            faults: watch::Sender::new(options.faults.clone()),
            started: watch::Sender::new(started),
            work: Notify::new(),
            memory: Mutex::new(EngineMemory {
                state,
                fence: 0,
                load_number: 0,
                sessions: Vec::new(),
                queue: Vec::new(),
                cache: PrefixCache::default(),
                stats: EngineStats::default(),
                step_records: Vec::new(),
            }),
            options,
        }
    }

    /// Locks the memory.
    pub(super) fn memory(&self) -> MutexGuard<'_, EngineMemory> {
        self.memory
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    /// Waits until the engine is not frozen.
    pub(super) async fn wait_thawed(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as `self`, so that waiting can't fail.
        let _ = faults.wait_for(|faults| !faults.frozen).await;
    }

    /// Clears the memory and breaks every connection.
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
