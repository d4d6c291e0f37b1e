use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::dispatch::RunnerIdent;

use crate::node::NodeContext;

use super::call_admission::CallAdmission;

/// The calls of one endpoint and the state that they share.
pub(super) struct CallRegistry {
    /// The state shared by all tasks of the process.
    pub(super) context: Arc<NodeContext>,
    /// The queue through which calls are admitted.
    pub(super) admission: CallAdmission,
    /// The attempts that run or whose outcome is being recorded, each with the incarnation in its
    /// row. Sorted; two orders for the same attempt are two items.
    attempts: Mutex<Vec<(RowKey, u64)>>,
}

impl CallRegistry {
    /// Creates a registry without calls.
    pub(super) fn new(context: Arc<NodeContext>) -> CallRegistry {
        CallRegistry {
            admission: CallAdmission::new(&context),
            context,
            attempts: Mutex::new(Vec::new()),
        }
    }

    /// Returns the identity under which call rows name this process.
    pub(super) fn runner(&self) -> RunnerIdent {
        let record = self.context.local_record.borrow();
        RunnerIdent {
            name: record.name.clone(),
            address: record.address.clone(),
            incarnation: record.incarnation,
        }
    }

    /// Registers an attempt; called before its row is inserted.
    pub(super) fn begin_attempt(&self, key: &RowKey, incarnation: u64) {
        let mut attempts = self.lock();
        let attempt = (key.clone(), incarnation);
        let index = attempts.partition_point(|known| *known < attempt);
        attempts.insert(index, attempt);
    }

    /// Removes an attempt for which this process has nothing more to record.
    pub(super) fn end_attempt(&self, key: &RowKey, incarnation: u64) {
        let mut attempts = self.lock();
        if let Ok(index) = find(&attempts, key, incarnation) {
            attempts.remove(index);
        }
    }

    /// Returns whether an attempt runs or its outcome is being recorded.
    pub(super) fn is_running(&self, key: &RowKey, incarnation: u64) -> bool {
        find(&self.lock(), key, incarnation).is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(RowKey, u64)>> {
        self.attempts
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

fn find(attempts: &[(RowKey, u64)], key: &RowKey, incarnation: u64) -> Result<usize, usize> {
    attempts.binary_search_by(|(known, number)| (known, *number).cmp(&(key, incarnation)))
}
