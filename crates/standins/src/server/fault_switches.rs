use std::time::Duration;

use tokio::sync::watch;

use super::ConnectionCut;
use super::FaultPlan;
use super::ServerMode;

/// The fault plan of a running stand-in, which can be changed at any time.
#[derive(Debug, Default)]
pub struct FaultSwitches {
    plan: watch::Sender<FaultPlan>,
}

impl FaultSwitches {
    /// Creates switches without any fault.
    pub fn new() -> FaultSwitches {
        FaultSwitches::default()
    }

    /// Returns the present plan.
    pub fn plan(&self) -> FaultPlan {
        self.plan.borrow().clone()
    }

    /// Replaces the plan.
    pub fn set(&self, plan: FaultPlan) {
        self.plan.send_replace(plan);
    }

    /// Changes the plan in place.
    pub fn change(&self, edit: impl FnOnce(&mut FaultPlan)) {
        self.plan.send_modify(edit);
    }

    /// Sets only the mode.
    pub fn set_mode(&self, mode: ServerMode) {
        self.change(|plan| plan.mode = mode);
    }

    /// Returns a receiver that sees each new plan.
    pub fn subscribe(&self) -> watch::Receiver<FaultPlan> {
        self.plan.subscribe()
    }

    /// Waits as the plan tells before a request takes effect.
    pub async fn before_request(&self) {
        let delay_ms = self.plan.borrow().delay_ms;
        delay(delay_ms).await;
        let mut plan = self.plan.subscribe();
        // The sender lives as long as `self`, so that waiting can't fail.
        let _ = plan.wait_for(|plan| plan.mode != ServerMode::Frozen).await;
    }

    /// Waits as the plan tells after a request took effect.
    pub async fn after_request(&self) {
        let delay_ms = self.plan.borrow().answer_delay_ms;
        delay(delay_ms).await;
    }

    /// Carries out the faults before the effect of a write.
    ///
    /// # Errors
    ///
    /// Returns a [`ConnectionCut`] if the write must not take effect.
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

    /// Carries out the faults after the effect of a write.
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

    /// Lowers a counter of the plan and returns whether it was above zero.
    pub fn decrement(&self, counter: impl Fn(&mut FaultPlan) -> &mut u32) -> bool {
        self.plan.send_if_modified(|plan| {
            let count = counter(plan);
            let is_set = *count > 0;
            *count = count.saturating_sub(1);
            is_set
        })
    }
}

/// Waits, unless the delay is zero: a timer of tokio takes up to a millisecond even then.
async fn delay(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
