mod absorb;
mod listing;
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
use super::gossip_news::GossipNews;
use super::gossip_repair::answer_ranges;
use super::probe_ledger::ProbeLedger;

use self::listing::ListedMark;

/// The view of one process on configuration, members and crash counts, and how it spreads.
#[derive(Clone, Debug)]
pub struct GossipMachine {
    own: MemberRecord,
    /// When the process started, as its first incarnation says.
    started_at: MilliTime,
    took_over_at: Option<MilliTime>,
    table: MemberTable,
    config: Arc<ConfigState>,
    crashes: CrashTable,
    overlay: RingOverlay,
    probes: ProbeLedger,
    /// The members that the host list marks as leaving, sorted by name.
    marks: Vec<ListedMark>,
    seeds: Vec<String>,
    gone: Vec<(String, MilliTime)>,
    suspicions: Vec<Suspicion>,
    last_tick: Option<MilliTime>,
    last_contact: MilliTime,
    round: u64,
    digest_address: Option<String>,
    /// Whether another member has sent all members that it knows.
    is_synced: bool,
}

impl GossipMachine {
    /// Creates the machine of the process with the record `own`, which knows nothing else yet.
    pub fn new(own: MemberRecord) -> GossipMachine {
        let mut table = MemberTable::new();
        table.merge(&own);
        GossipMachine::with_table(own, table)
    }

    /// Creates the machine of the process with the record `own`, which knows the members of `table`.
    pub fn with_table(own: MemberRecord, mut table: MemberTable) -> GossipMachine {
        table.merge(&own);
        GossipMachine {
            overlay: RingOverlay::new(&table, &own.name),
            started_at: MilliTime::from_millis(own.incarnation),
            took_over_at: None,
            own,
            table,
            config: Arc::new(ConfigState::new()),
            crashes: CrashTable::new(),
            probes: ProbeLedger::default(),
            marks: Vec::new(),
            seeds: Vec::new(),
            gone: Vec::new(),
            suspicions: Vec::new(),
            last_tick: None,
            last_contact: MilliTime::default(),
            round: 0,
            digest_address: None,
            is_synced: false,
        }
    }

    /// Sets addresses to contact as long as no other member was heard.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Returns the own record.
    pub fn local_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the members.
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

    /// Returns the last time at which another member was heard.
    pub fn last_contact(&self) -> MilliTime {
        self.last_contact
    }

    /// Returns a message that introduces this process to one that it does not know.
    pub fn announcement(&self) -> GossipMessage {
        let mut message = self.new_message();
        message.members.push(self.own.clone());
        message
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: MilliTime, event: GossipEvent) -> Vec<GossipAction> {
        let mut news = GossipNews::default();
        let mut actions = Vec::new();
        let mut except = None;
        match event {
            GossipEvent::Tick => self.tick(now, &mut news, &mut actions),
            GossipEvent::Reply { address, message } => {
                self.take_reply(now, address, &message, &mut news, &mut actions);
                except = Some(message.from);
            }
            GossipEvent::ProbeAnswered { name } => {
                self.last_contact = now;
                self.probes.answered(&name);
            }
            GossipEvent::ProbeMissed { name } => self.miss_probe(now, &name, &mut news),
            GossipEvent::HostsListed(listings) => {
                self.merge_listings(now, &listings, &mut news, &mut actions);
            }
            GossipEvent::ConfigRead(delta) => self.adopt(&delta, &mut news),
            GossipEvent::LocalRecordChanged(record) => {
                self.change_own(&record, &mut news, &mut actions)
            }
            GossipEvent::CrashCounted(record) => {
                if self.crashes.merge(&record) {
                    news.crashes.push(record);
                }
            }
        }
        self.publish(&news, except.as_deref(), &mut actions);
        actions
    }

    /// Takes in a request and returns the reply and what is to be done.
    pub fn answer(
        &mut self,
        now: MilliTime,
        request: &GossipMessage,
    ) -> (GossipMessage, Vec<GossipAction>) {
        let mut news = GossipNews::default();
        let mut actions = Vec::new();
        let outdated = self.absorb(now, request, &mut news);
        let mut reply = self.new_message();
        reply.members = outdated;
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
        self.publish(&news, Some(&request.from), &mut actions);
        (reply, actions)
    }

    fn new_message(&self) -> GossipMessage {
        GossipMessage {
            from: self.own.name.clone(),
            incarnation: self.own.incarnation,
            digest: GossipDigest {
                revision: self.config.revision,
                count: self.table.records().len() as u32,
                members: self.table.root_hash(),
                crashes: self.crashes.hash(),
            },
            ..GossipMessage::default()
        }
    }

    /// Publishes what changed and pushes it to the successors, but not to where it came from.
    fn publish(
        &mut self,
        news: &GossipNews,
        except: Option<&str>,
        actions: &mut Vec<GossipAction>,
    ) {
        if news.has_own {
            actions.push(GossipAction::LocalRecordChanged);
        }
        if news.has_members {
            actions.push(GossipAction::MembersChanged);
        }
        if news.config_base.is_some() {
            actions.push(GossipAction::ConfigChanged);
        }
        if !news.crashes.is_empty() {
            actions.push(GossipAction::CrashesChanged);
        }
        if news.has_overlay {
            let had_none = self.overlay.successors().is_empty();
            self.overlay = RingOverlay::new(&self.table, &self.own.name);
            if had_none && !self.is_synced {
                self.introduce(actions);
            }
        }
        if !news.has_push() {
            return;
        }
        let message = self.news_message(news);
        for name in self.overlay.successors() {
            if except != Some(name.as_str()) {
                self.send(name, message.clone(), actions);
            }
        }
    }

    fn news_message(&self, news: &GossipNews) -> GossipMessage {
        let mut message = self.new_message();
        message.delta = news.config_base.map(|base| self.config.delta_since(base));
        let records = news.members.iter().filter_map(|name| self.table.get(name));
        message.members = records.cloned().collect();
        message.crashes = news.crashes.clone();
        message.suspicions = news.suspicions.clone();
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
