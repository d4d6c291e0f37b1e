use std::time::Duration;

use tokio::sync::watch;

use super::ConnectionCut;
use super::FaultPlan;
use super::ServerMode;

/// The fault plan of a running stand-in, which can be changed while requests are in progress.
#[derive(Debug, Default)]
pub struct FaultSwitches {
    plan: watch::Sender<FaultPlan>,
}

impl FaultSwitches {
    /// Creates switches with no faults set.
    pub fn new() -> FaultSwitches {
        FaultSwitches::default()
    }

    /// Returns the current plan.
    pub fn plan(&self) -> FaultPlan {
        self.plan.borrow().clone()
    }

    /// Replaces the plan.
    pub fn set(&self, plan: FaultPlan) {
        self.plan.send_replace(plan);
    }

    /// Edits the plan.
    pub fn change(&self, edit: impl FnOnce(&mut FaultPlan)) {
        self.plan.send_modify(edit);
    }

    /// Sets the mode and leaves the other faults as they are.
    pub fn set_mode(&self, mode: ServerMode) {
        self.change(|plan| plan.mode = mode);
    }

    /// Returns a receiver that is notified of each change of the plan.
    pub fn subscribe(&self) -> watch::Receiver<FaultPlan> {
        self.plan.subscribe()
    }

    /// Waits for `delay_ms` and while the mode is `Frozen`; called before a request takes effect.
    pub async fn before_request(&self) {
        let delay_ms = self.plan.borrow().delay_ms;
        delay(delay_ms).await;
        let mut plan = self.plan.subscribe();
        // The wait can't fail, since `self` owns the sender.
        let _ = plan.wait_for(|plan| plan.mode != ServerMode::Frozen).await;
    }

    /// Waits for `answer_delay_ms`; called after a request took effect.
    pub async fn after_request(&self) {
        let delay_ms = self.plan.borrow().answer_delay_ms;
        delay(delay_ms).await;
    }

    /// Injects the faults that precede the effect of a write.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectionCut`] if the write must have no effect and no answer.
    pub async fn before_write(&self) -> Result<(), ConnectionCut> {
        self.before_request().await;
        if self.decrement(|plan| &mut plan.crash_before) {
            self.set_mode(ServerMode::Down);
            return Err(ConnectionCut);
        }
        match self.decrement(|plan| &mut plan.cut_before) {
            true => Err(ConnectionCut),
            false => Ok(()),
        }
    }

    /// Injects the faults that follow the effect of a write.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectionCut`] if the answer must be lost.
    pub async fn after_write(&self) -> Result<(), ConnectionCut> {
        if self.decrement(|plan| &mut plan.crash_after) {
            self.set_mode(ServerMode::Down);
            return Err(ConnectionCut);
        }
        if self.decrement(|plan| &mut plan.cut_after) {
            return Err(ConnectionCut);
        }
        self.after_request().await;
        Ok(())
    }

    /// Decrements a counter of the plan unless it is 0, and returns whether it was above 0.
    pub fn decrement(&self, counter: impl Fn(&mut FaultPlan) -> &mut u32) -> bool {
        self.plan.send_if_modified(|plan| {
            let count = counter(plan);
            let is_set = *count > 0;
            *count = count.saturating_sub(1);
            is_set
        })
    }
}

/// Sleeps for `delay_ms`. Skips the timer for 0, since a tokio sleep of 0 takes up to a
/// millisecond.
async fn delay(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
