mod listing;
mod merge;
mod round;

use std::sync::Arc;

use crate::config::ConfigState;
use crate::time::MilliTime;

use super::CrashTable;
use super::GossipAction;
use super::GossipDigest;
use super::GossipEvent;
use super::GossipMessage;
use super::MemberRecord;
use super::MemberState;
use super::MemberTable;
use super::RingOverlay;
use super::Suspicion;
use super::gossip_repair::answer_ranges;
use super::gossip_update::GossipUpdate;
use super::probe_tracker::ProbeTracker;

use self::listing::LeavingMark;

/// The gossip state machine of one process.
///
/// Holds the process's copies of the member table, the configuration and the crash counts, and
/// decides which messages and probes to send. It performs no I/O: the process reports events to
/// [`handle`](Self::handle), passes requests of other processes to [`answer`](Self::answer) and
/// carries out the returned actions.
#[derive(Clone, Debug)]
pub struct GossipMachine {
    /// The record of this process.
    local: MemberRecord,
    /// The start time of the process, which is its first incarnation.
    started_at: MilliTime,
    /// When this process last claimed its name from a process at another address.
    claimed_name_at: Option<MilliTime>,
    table: MemberTable,
    config: Arc<ConfigState>,
    crashes: CrashTable,
    overlay: RingOverlay,
    probes: ProbeTracker,
    /// The members that are marked as leaving in the host list, sorted by name.
    leaving_marks: Vec<LeavingMark>,
    seeds: Vec<String>,
    /// The names of gone members and when they were declared gone, oldest first.
    gone_since: Vec<(String, MilliTime)>,
    /// The last suspicions that were forwarded, each of which is forwarded only once.
    forwarded_suspicions: Vec<Suspicion>,
    last_tick: Option<MilliTime>,
    last_contact: MilliTime,
    /// The number of ticks so far.
    round: u64,
    /// The address to which the last digest was sent, until its reply arrives.
    digest_address: Option<String>,
    /// Whether another member has sent its whole member table.
    is_synced: bool,
}

impl GossipMachine {
    /// Creates the state machine of the process with the record `local`, which knows no other member.
    pub fn new(local: MemberRecord) -> GossipMachine {
        let mut table = MemberTable::new();
        table.merge(&local);
        GossipMachine::with_table(local, table)
    }

    /// Creates the state machine of the process with the record `local` and the member table `table`.
    pub fn with_table(local: MemberRecord, mut table: MemberTable) -> GossipMachine {
        table.merge(&local);
        GossipMachine {
            overlay: RingOverlay::new(&table, &local.name),
            started_at: MilliTime::from_millis(local.incarnation),
            claimed_name_at: None,
            local,
            table,
            config: Arc::new(ConfigState::new()),
            crashes: CrashTable::new(),
            probes: ProbeTracker::default(),
            leaving_marks: Vec::new(),
            seeds: Vec::new(),
            gone_since: Vec::new(),
            forwarded_suspicions: Vec::new(),
            last_tick: None,
            last_contact: MilliTime::default(),
            round: 0,
            digest_address: None,
            is_synced: false,
        }
    }

    /// Sets the addresses to contact until this process is synced, and whenever it receives
    /// nothing from other members.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Returns the record of this process.
    pub fn local_record(&self) -> &MemberRecord {
        &self.local
    }

    /// Returns the member table, which includes this process.
    pub fn members(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Arc<ConfigState> {
        &self.config
    }

    /// Returns the crash counts.
    pub fn crashes(&self) -> &CrashTable {
        &self.crashes
    }

    /// Returns the time of the last message or probe answer from another member.
    pub fn last_contact(&self) -> MilliTime {
        self.last_contact
    }

    /// Returns a message that carries the record of this process.
    pub fn announcement(&self) -> GossipMessage {
        let mut message = self.new_message();
        message.members.push(self.local.clone());
        message
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: MilliTime, event: GossipEvent) -> Vec<GossipAction> {
        let mut update = GossipUpdate::default();
        let mut actions = Vec::new();
        let mut source = None;
        match event {
            GossipEvent::Tick => self.tick(now, &mut update, &mut actions),
            GossipEvent::Reply { address, message } => {
                self.handle_reply(now, address, &message, &mut update, &mut actions);
                source = Some(message.from);
            }
            GossipEvent::ProbeAnswered { name } => {
                self.last_contact = now;
                self.probes.record_answer(&name);
            }
            GossipEvent::ProbeMissed { name } => self.record_missed_probe(now, &name, &mut update),
            GossipEvent::HostsListed(listings) => {
                self.merge_listings(now, &listings, &mut update, &mut actions);
            }
            GossipEvent::ConfigRead(delta) => self.apply_delta(&delta, &mut update),
            GossipEvent::LocalRecordChanged(record) => {
                self.update_local(&record, &mut update, &mut actions)
            }
            GossipEvent::CrashCounted(record) => {
                if self.crashes.merge(&record) {
                    update.crashes.push(record);
                }
            }
        }
        self.publish(&update, source.as_deref(), &mut actions);
        actions
    }

    /// Handles a request of another process and returns the reply and the actions to carry out.
    pub fn answer(
        &mut self,
        now: MilliTime,
        request: &GossipMessage,
    ) -> (GossipMessage, Vec<GossipAction>) {
        let mut update = GossipUpdate::default();
        let mut actions = Vec::new();
        let newer_records = self.merge_message(now, request, &mut update);
        let mut reply = self.new_message();
        reply.members = newer_records;
        if let Some(known) = self.table.get(&request.from)
            && (known.incarnation > request.incarnation || known.state == MemberState::Gone)
        {
            reply.members.push(known.clone());
        }
        if request.digest.revision < self.config.revision {
            reply.delta = Some(self.config.delta_since(request.digest.revision));
        }
        if request.wants_all {
            reply.members = self.table.records().cloned().collect();
        }
        if request.wants_all || request.wants_crashes {
            reply.crashes = self.crashes.records().to_vec();
        }
        answer_ranges(&self.table, request, &mut reply);
        self.publish(&update, Some(&request.from), &mut actions);
        (reply, actions)
    }

    fn new_message(&self) -> GossipMessage {
        GossipMessage {
            from: self.local.name.clone(),
            incarnation: self.local.incarnation,
            digest: GossipDigest {
                revision: self.config.revision,
                count: self.table.records().len() as u32,
                members: self.table.root_hash(),
                crashes: self.crashes.hash(),
            },
            ..GossipMessage::default()
        }
    }

    /// Publishes the changes locally and pushes them to the successors other than `source`, the
    /// member that sent them.
    fn publish(
        &mut self,
        update: &GossipUpdate,
        source: Option<&str>,
        actions: &mut Vec<GossipAction>,
    ) {
        if update.has_local_change {
            actions.push(GossipAction::LocalRecordChanged);
        }
        if update.has_member_changes {
            actions.push(GossipAction::MembersChanged);
        }
        if update.config_base.is_some() {
            actions.push(GossipAction::ConfigChanged);
        }
        if !update.crashes.is_empty() {
            actions.push(GossipAction::CrashesChanged);
        }
        if update.has_overlay_change {
            let had_none = self.overlay.successors().is_empty();
            self.overlay = RingOverlay::new(&self.table, &self.local.name);
            if had_none && !self.is_synced {
                self.announce_start(actions);
            }
        }
        if !update.needs_push() {
            return;
        }
        let message = self.update_message(update);
        for name in self.overlay.successors() {
            if source != Some(name.as_str()) {
                self.send(name, message.clone(), actions);
            }
        }
    }

    fn update_message(&self, update: &GossipUpdate) -> GossipMessage {
        let mut message = self.new_message();
        message.delta = update.config_base.map(|base| self.config.delta_since(base));
        let records = update
            .members
            .iter()
            .filter_map(|name| self.table.get(name));
        message.members = records.cloned().collect();
        message.crashes = update.crashes.clone();
        message.suspicions = update.suspicions.clone();
        message
    }

    fn send(&self, name: &str, message: GossipMessage, actions: &mut Vec<GossipAction>) {
        if let Some(record) = self.table.get(name) {
            actions.push(GossipAction::Send {
                address: record.address.clone(),
                message: Box::new(message),
            });
        }
    }
}
