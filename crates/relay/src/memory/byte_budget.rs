use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelionroad_core::relay::ByteLedger;
use dandelionroad_core::relay::ByteSource;
use prometheus::IntCounterVec;
use tokio::sync::Notify;

use super::HeldBytes;
use super::HolderSignal;

/// The budget of the bytes that a process holds for others; clones share it.
///
/// The process runs on one thread, but the HTTP library requires what its connections hold to be `Send`.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    state: Arc<Mutex<BudgetState>>,
    /// Wakes the task that avoids servers whose answers were ended.
    server_ended: Arc<Notify>,
}

#[derive(Debug)]
struct BudgetState {
    ledger: ByteLedger,
    /// Sorted by the number of the holder.
    signals: Vec<(u64, Arc<HolderSignal>)>,
    /// The servers with ended holders that were not taken yet, sorted.
    ended_servers: Vec<SocketAddr>,
    /// The ended holders by kind of source.
    ended_count: IntCounterVec,
}

impl ByteBudget {
    /// Creates a budget with a limit in bytes, which counts the holders that it ends in `ended_count`.
    pub fn new(limit: usize, ended_count: IntCounterVec) -> ByteBudget {
        ByteBudget {
            state: Arc::new(Mutex::new(BudgetState {
                ledger: ByteLedger::new(limit),
                signals: Vec::new(),
                ended_servers: Vec::new(),
                ended_count,
            })),
            server_ended: Arc::new(Notify::new()),
        }
    }

    /// Changes the limit, in bytes; see [`ByteLedger::set_limit`].
    pub fn set_limit(&self, limit: usize) {
        let mut state = self.lock();
        state.ledger.set_limit(limit);
        self.end_excess(&mut state);
    }

    /// Returns the number of bytes held.
    pub fn held_bytes(&self) -> usize {
        self.lock().ledger.held_bytes()
    }

    /// Opens an empty holder that is charged to a source.
    pub fn hold(&self, source: ByteSource) -> HeldBytes {
        let mut state = self.lock();
        let number = state.ledger.open(source);
        let signal = Arc::new(HolderSignal::default());
        state.signals.push((number, Arc::clone(&signal)));
        drop(state);
        HeldBytes::new(self.clone(), number, signal)
    }

    /// Waits until holders of servers have been ended, and returns the addresses of these servers.
    pub async fn take_ended_servers(&self) -> Vec<SocketAddr> {
        loop {
            let ended = std::mem::take(&mut self.lock().ended_servers);
            if !ended.is_empty() {
                return ended;
            }
            self.server_ended.notified().await;
        }
    }

    /// Sets the size of a holder; returns false if it has been ended.
    pub(super) fn resize(&self, number: u64, bytes: usize) -> bool {
        let mut state = self.lock();
        let is_open = state.ledger.resize(number, bytes);
        self.end_excess(&mut state);
        is_open && state.position(number).is_ok()
    }

    pub(super) fn reassign(&self, number: u64, source: ByteSource) {
        self.lock().ledger.reassign(number, source);
    }

    /// Keeps a holder from being ended; returns false if it has been ended, or is ended as there is no room for it.
    pub(super) fn protect(&self, number: u64) -> bool {
        self.lock().ledger.protect(number)
    }

    pub(super) fn close(&self, number: u64) {
        let mut state = self.lock();
        state.ledger.close(number);
        if let Ok(index) = state.position(number) {
            state.signals.remove(index);
        }
    }

    fn end_excess(&self, state: &mut BudgetState) {
        for (number, source) in state.ledger.end_excess() {
            state.ended_count.with_label_values(&[source.kind()]).inc();
            if let ByteSource::Server(address) = source
                && let Err(index) = state.ended_servers.binary_search(&address)
            {
                state.ended_servers.insert(index, address);
                self.server_ended.notify_one();
            }
            if let Ok(index) = state.position(number) {
                state.signals.remove(index).1.end();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

impl BudgetState {
    fn position(&self, number: u64) -> Result<usize, usize> {
        self.signals
            .binary_search_by_key(&number, |(known, _)| *known)
    }
}
