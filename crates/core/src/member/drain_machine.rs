use crate::time::MilliTime;

use super::DrainAction;
use super::DrainEvent;
use super::MemberRole;

/// The time between the last work and the exit of an endpoint's process, in milliseconds, so that
/// its last answers and its last record leave the process.
const LINGER_MS: u64 = 500;

/// Brings a process to a graceful stop: no request in flight is cut off, however long it takes.
///
/// An entry goes on serving what still arrives until the notice period has passed and no request is
/// left. An endpoint's process refuses new work at once.
#[derive(Clone, Debug)]
pub struct DrainMachine {
    role: MemberRole,
    notice_ms: u64,
    work: usize,
    stop_asked_at: Option<MilliTime>,
    idle_since: Option<MilliTime>,
    has_exited: bool,
}

impl DrainMachine {
    /// Creates the machine; `notice_ms` is the least time between the failed readiness check of an
    /// entry and its exit.
    pub fn new(role: MemberRole, notice_ms: u64) -> DrainMachine {
        DrainMachine {
            role,
            notice_ms,
            work: 0,
            stop_asked_at: None,
            idle_since: None,
            has_exited: false,
        }
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stop_asked_at.is_some()
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: MilliTime, event: DrainEvent) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        match event {
            DrainEvent::StopAsked if self.stop_asked_at.is_none() => {
                self.stop_asked_at = Some(now);
                actions.push(match self.role {
                    MemberRole::Entry => DrainAction::FailReadiness,
                    MemberRole::Endpoint => DrainAction::RefuseWork,
                });
                actions.push(DrainAction::PublishLeaving);
            }
            DrainEvent::WorkCounted(work) => self.work = work,
            DrainEvent::StopAsked | DrainEvent::Tick => {}
        }
        let Some(asked_at) = self.stop_asked_at else {
            return actions;
        };
        if self.work > 0 {
            self.idle_since = None;
            return actions;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        let is_over = match self.role {
            MemberRole::Entry => now.since(asked_at) >= self.notice_ms,
            MemberRole::Endpoint => now.since(idle_since) >= LINGER_MS,
        };
        if is_over && !self.has_exited {
            self.has_exited = true;
            actions.push(DrainAction::PublishGone);
            actions.push(DrainAction::Exit);
        }
        actions
    }
}
