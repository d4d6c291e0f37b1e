//! A simulated network of gossip state machines with fault injection, in simulated milliseconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use dandelionroad_core::config::ChangeTicket;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::ident::HostName;
use dandelionroad_core::ident::ZoneName;
use dandelionroad_core::member::GossipAction;
use dandelionroad_core::member::GossipEvent;
use dandelionroad_core::member::GossipMachine;
use dandelionroad_core::member::GossipMessage;
use dandelionroad_core::member::HostListing;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberRole;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::time::MilliTime;

/// The size of the JSON-RPC envelope and the WebSocket header of a gossip request, in bytes.
const REQUEST_OVERHEAD_BYTES: usize = 86;

/// The size of the JSON-RPC envelope and the WebSocket header of a gossip reply, in bytes.
const REPLY_OVERHEAD_BYTES: usize = 44;

/// The size of a probe including the WebSocket header, in bytes.
const PROBE_BYTES: usize = 90;

/// The size of a probe reply including the WebSocket header, in bytes.
const PROBE_REPLY_BYTES: usize = 140;

/// The start time of the first processes, in milliseconds since the Unix epoch, as in the daemon.
const START_MS: u64 = 1_764_000_000_000;

/// The time after which a probe without an answer counts as missed, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 800;

/// One simulated process.
pub(crate) struct SimNode {
    pub(crate) machine: GossipMachine,
    pub(crate) is_running: bool,
    pub(crate) is_frozen: bool,
    /// The side of a network partition; nodes on different sides can't reach each other.
    pub(crate) side: u8,
    pub(crate) sent_bytes: u64,
    /// Whether the current run of the process was asked to leave.
    pub(crate) is_leaving: bool,
}

enum Delivery {
    Tick,
    Request(usize, Box<GossipMessage>),
    Event(GossipEvent),
    Probe(usize, String),
}

/// The simulated processes, their network and the table service.
pub(crate) struct GossipNetwork {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) store: Arc<ConfigState>,
    pub(crate) is_store_up: bool,
    /// The share of messages that are lost, in percent.
    pub(crate) loss_percent: u64,
    /// Whether sent bytes are counted, which takes most of the run time.
    pub(crate) counts_bytes: bool,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The receiver, the run of the receiver and the content of each queued delivery, indexed by
    /// sequence number.
    deliveries: Vec<Option<(usize, u64, Delivery)>>,
    /// The number of restarts of each process.
    runs: Vec<u64>,
    random: u64,
}

/// Returns the record of node `index`; every fourth node is an entry.
pub(crate) fn record(index: usize, incarnation: u64) -> MemberRecord {
    let is_entry = index.is_multiple_of(4);
    MemberRecord {
        name: format!("{}-{index:05}", if is_entry { "entry" } else { "node" }),
        role: if is_entry {
            MemberRole::Entry
        } else {
            MemberRole::Endpoint
        },
        host: HostName::parse("host").unwrap(),
        zone: ZoneName::parse("zone").unwrap(),
        address: format!("10.{}.{}.1:7000", index / 256, index % 256),
        incarnation,
        state: MemberState::Live,
        sequence: 0,
        held: None,
    }
}

impl GossipNetwork {
    /// Creates a network of `count` processes that know each other.
    pub(crate) fn new(count: usize) -> GossipNetwork {
        let mut table = MemberTable::new();
        for index in 0..count {
            table.merge(&record(index, START_MS));
        }
        let mut network = GossipNetwork {
            now: START_MS + 100_000,
            nodes: Vec::new(),
            store: Arc::default(),
            is_store_up: true,
            loss_percent: 0,
            counts_bytes: false,
            queue: BinaryHeap::new(),
            deliveries: Vec::new(),
            runs: vec![0; count],
            random: 1,
        };
        for index in 0..count {
            let machine = GossipMachine::with_table(record(index, START_MS), table.clone());
            network.nodes.push(SimNode {
                machine,
                is_running: true,
                is_frozen: false,
                side: 0,
                sent_bytes: 0,
                is_leaving: false,
            });
            let delay = network.draw(1_000);
            network.push(delay, index, Delivery::Tick);
        }
        network
    }

    /// Returns the current host list.
    pub(crate) fn host_list(&self) -> Vec<HostListing> {
        let nodes = self.nodes.iter().enumerate();
        let listings = nodes.filter(|(_, node)| node.is_running);
        listings
            .map(|(index, node)| HostListing {
                record: record(index, 0),
                leaving: node.is_leaving,
            })
            .collect()
    }

    /// Commits the next ticket to the table service, through node `index`.
    pub(crate) fn accept_ticket(&mut self, index: usize) {
        let number = self.store.revision + 1;
        let ticket = format!(
            r#"{{"number":{number},"accounts":[{{"name":"account-{}","secret_sha256":"{number:064x}",
            "units_per_second":20000,"burst_units":60000,"weight":1,"services":["booking"],
            "models":["model-a"]}}]}}"#,
            number % 7
        );
        let ticket = ChangeTicket::parse(ticket.as_bytes()).unwrap();
        Arc::make_mut(&mut self.store).apply(&ticket);
        self.read_store(index);
    }

    /// Passes the configuration in the table service to node `index`.
    pub(crate) fn read_store(&mut self, index: usize) {
        let held = self.nodes[index].machine.config().revision;
        let delta = self.store.delta_since(held);
        self.handle(index, GossipEvent::ConfigRead(delta));
    }

    /// Passes an event to node `index` at the current time.
    pub(crate) fn handle(&mut self, index: usize, event: GossipEvent) {
        let now = MilliTime::from_millis(self.now);
        let actions = self.nodes[index].machine.handle(now, event);
        self.carry_out(index, actions);
    }

    /// Asks node `index` to leave.
    pub(crate) fn leave(&mut self, index: usize) {
        self.nodes[index].is_leaving = true;
        let mut record = self.nodes[index].machine.local_record().clone();
        record.state = MemberState::Leaving;
        self.handle(index, GossipEvent::LocalRecordChanged(Box::new(record)));
    }

    /// Restarts node `index` at the same address with no state but the host list.
    pub(crate) fn restart(&mut self, index: usize) {
        self.runs[index] += 1;
        let listings = self.host_list();
        let node = &mut self.nodes[index];
        node.machine = GossipMachine::new(record(index, self.now));
        node.is_running = true;
        node.is_frozen = false;
        node.is_leaving = false;
        self.push(0, index, Delivery::Tick);
        self.handle(index, GossipEvent::HostsListed(listings));
    }

    /// Runs the simulation for `millis` milliseconds.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(Reverse((time, number))) = self.queue.peek().copied()
            && time <= end
        {
            self.queue.pop();
            self.now = time;
            let (index, run, delivery) = self.deliveries[number as usize].take().unwrap();
            if self.runs[index] == run && self.nodes[index].is_running {
                self.deliver(index, delivery);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        if self.nodes[index].is_frozen {
            // Deliveries to a frozen process stay in its socket buffers until it resumes.
            self.push(50, index, delivery);
            return;
        }
        match delivery {
            Delivery::Tick => {
                self.push(1_000, index, Delivery::Tick);
                self.handle(index, GossipEvent::Tick);
                let name = self.nodes[index].machine.local_record().name.clone();
                let is_poller = self.nodes[index].machine.members().is_poller(&name);
                if is_poller && self.is_store_up {
                    self.read_store(index);
                }
            }
            Delivery::Event(event) => self.handle(index, event),
            Delivery::Probe(from, name) => {
                self.count_bytes(index, PROBE_REPLY_BYTES);
                if self.has_link(index, from) {
                    let delay = self.draw(3) + 1;
                    self.push(
                        delay,
                        from,
                        Delivery::Event(GossipEvent::ProbeAnswered { name }),
                    );
                }
            }
            Delivery::Request(from, message) => {
                let now = MilliTime::from_millis(self.now);
                let (reply, actions) = self.nodes[index].machine.answer(now, &message);
                self.count_message(index, &reply, REPLY_OVERHEAD_BYTES);
                self.carry_out(index, actions);
                if self.has_link(index, from) {
                    let event = GossipEvent::Reply {
                        address: record(index, 0).address,
                        message: Box::new(reply),
                    };
                    let delay = self.draw(3) + 1;
                    self.push(delay, from, Delivery::Event(event));
                }
            }
        }
    }

    fn carry_out(&mut self, index: usize, actions: Vec<GossipAction>) {
        for action in actions {
            match action {
                GossipAction::Send { address, message } => {
                    let target = self.find(&address);
                    if self.has_link(index, target) {
                        self.count_message(index, &message, REQUEST_OVERHEAD_BYTES);
                        let delay = self.draw(3) + 1;
                        self.push(delay, target, Delivery::Request(index, message));
                    }
                }
                GossipAction::Probe { name, address } => {
                    let target = self.find(&address);
                    self.count_bytes(index, PROBE_BYTES);
                    let is_answered = self.has_link(index, target) && !self.nodes[target].is_frozen;
                    if is_answered {
                        let delay = self.draw(3) + 1;
                        self.push(delay, target, Delivery::Probe(index, name));
                    } else {
                        let missed = GossipEvent::ProbeMissed { name };
                        self.push(PROBE_TIMEOUT_MS, index, Delivery::Event(missed));
                    }
                }
                _ => {}
            }
        }
    }

    fn find(&self, address: &str) -> usize {
        let mut digits = address
            .split('.')
            .skip(1)
            .map(|part| part.parse::<usize>().unwrap());
        digits.next().unwrap() * 256 + digits.next().unwrap()
    }

    fn has_link(&mut self, from: usize, to: usize) -> bool {
        let is_lost = self.draw(100) < self.loss_percent;
        let [from, to] = [&self.nodes[from], &self.nodes[to]];
        to.is_running && from.side == to.side && !is_lost
    }

    fn count_message(&mut self, index: usize, message: &GossipMessage, overhead: usize) {
        if self.counts_bytes {
            let length = serde_json::to_string(message).unwrap().len();
            self.count_bytes(index, length + overhead);
        }
    }

    fn count_bytes(&mut self, index: usize, bytes: usize) {
        self.nodes[index].sent_bytes += bytes as u64;
    }

    fn push(&mut self, delay: u64, index: usize, delivery: Delivery) {
        let number = self.deliveries.len() as u64;
        self.queue.push(Reverse((self.now + delay, number)));
        self.deliveries
            .push(Some((index, self.runs[index], delivery)));
    }

    /// Returns a pseudorandom number below `bound` from a fixed sequence.
    fn draw(&mut self, bound: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.random >> 33) % bound
    }
}
