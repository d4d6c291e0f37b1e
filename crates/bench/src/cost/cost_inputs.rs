use dandelionroad_core::admit::AdmitConfig;
use dandelionroad_core::admit::AdmitItem;
use dandelionroad_core::admit::AdmitQueue;
use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::config::AccountSpec;
use dandelionroad_core::config::ChangeTicket;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::PoolMember;
use dandelionroad_core::config::PoolSpec;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::HostName;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::ident::PoolName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberRole;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::route::EndpointPicker;
use dandelionroad_core::route::EndpointSubset;
use dandelionroad_core::route::FlowGraph;
use dandelionroad_core::route::FlowNode;
use dandelionroad_core::route::RouteChooser;
use dandelionroad_core::route::RoutePlan;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::RouteStage;
use dandelionroad_core::time::MilliTime;
use serde::Serialize;

use crate::sim::Fleet;

use super::stopwatch::median_ns;

/// The number of client accounts at the base size.
const ACCOUNTS: usize = 10;

/// The cost of a request, in work units.
const REQUEST_UNITS: u64 = 440;

/// A function that measures one decision and returns its time in nanoseconds and the size of its result
/// in bytes.
type CostMeasurement = fn(&CostInputs) -> (u64, u64);

/// The inputs of the measured decisions at one size.
pub(super) struct CostInputs {
    fleet: Fleet,
    plan: RoutePlan,
    picker: EndpointPicker,
    accounts: Vec<AccountName>,
    config: ConfigState,
    members: MemberTable,
}

impl CostInputs {
    /// Creates the inputs at `scale` times the base size.
    pub(super) fn new(scale: usize) -> CostInputs {
        let fleet = Fleet::new(scale);
        let mut picker = EndpointPicker::new();
        picker.set_endpoints(fleet.nodes.iter().map(|node| {
            let rate = WorkUnits::default().per_second(node.tokens_per_second);
            (node.endpoint.clone(), rate)
        }));
        let accounts: Vec<AccountName> = (0..ACCOUNTS * scale).map(account_name).collect();
        let mut config = ConfigState::new();
        let pools = fleet.nodes.chunks(30).enumerate();
        config.apply(&ChangeTicket {
            number: 1,
            accounts: accounts.iter().map(account_spec).collect(),
            models: Vec::new(),
            pools: pools
                .map(|(index, nodes)| pool_spec(index, nodes))
                .collect(),
            services: Vec::new(),
            delete: Vec::new(),
        });
        let mut members = MemberTable::new();
        for node in &fleet.nodes {
            members.merge(&member_record(node, 1));
        }
        CostInputs {
            plan: FlowGraph::new(fleet.layers, &fleet.nodes, &fleet.links).plan(),
            picker,
            accounts,
            config,
            members,
            fleet,
        }
    }

    /// Returns the names of the decisions, each with the function that measures it.
    pub(super) fn measurements() -> [(&'static str, CostMeasurement); 7] {
        [
            ("route choice", CostInputs::measure_route_choice),
            ("admission", CostInputs::measure_admission),
            ("plan computation", CostInputs::measure_plan_computation),
            ("subset and its plan", CostInputs::measure_subset_plan),
            ("ticket of one account", CostInputs::measure_account_ticket),
            ("ticket of one pool", CostInputs::measure_pool_ticket),
            ("membership change", CostInputs::measure_membership_change),
        ]
    }

    fn measure_route_choice(&self) -> (u64, u64) {
        let chooser = RouteChooser {
            plan: &self.plan,
            picker: &self.picker,
            excluded: &[],
            now: MilliTime::from_millis(1),
        };
        let mut seed = 0;
        let mut choose = || {
            seed += 1;
            chooser.choose(REQUEST_UNITS, seed)
        };
        let stages = choose().unwrap_or_default().into_iter();
        let route = ChainRoute {
            stages: stages
                .map(|(endpoint, range)| RouteStage {
                    endpoint,
                    address: "10.20.30.40:7000".to_owned(),
                    range,
                })
                .collect(),
        };
        (median_ns(choose), json_bytes(&route))
    }

    /// Measures an offer, start and finish of one item while an item of each account is queued.
    fn measure_admission(&self) -> (u64, u64) {
        let now = MilliTime::from_millis(1);
        let mut queue = AdmitQueue::new(AdmitConfig::new(u64::MAX, 1, 3_000));
        let item = |number: usize| AdmitItem {
            request: RequestIdent::parse(&number.to_string()).expect("digits are valid"),
            account: self.accounts[number % self.accounts.len()].clone(),
            weight: 1,
            priority: 0,
            units: REQUEST_UNITS,
            deadline: MilliTime::MAX,
            is_suspect: false,
        };
        let mut number = 0;
        for _ in 0..=self.accounts.len() {
            queue.offer(item(number), now);
            number += 1;
        }
        let mut running = queue.poll(now).started;
        let nanoseconds = median_ns(|| {
            queue.offer(item(number), now);
            number += 1;
            if let Some(item) = running.pop() {
                queue.finish(&item.request, now);
            }
            running = queue.poll(now).started;
        });
        (nanoseconds, json_bytes(&queue.load()))
    }

    fn measure_plan_computation(&self) -> (u64, u64) {
        let fleet = &self.fleet;
        let compute = || FlowGraph::new(fleet.layers, &fleet.nodes, &fleet.links).plan();
        (median_ns(compute), plan_bytes(&compute()))
    }

    fn measure_subset_plan(&self) -> (u64, u64) {
        let fleet = &self.fleet;
        let compute = || {
            let nodes = EndpointSubset::default().select("entry-1", &fleet.nodes);
            FlowGraph::new(fleet.layers, &nodes, &fleet.links).plan()
        };
        (median_ns(compute), plan_bytes(&compute()))
    }

    fn measure_account_ticket(&self) -> (u64, u64) {
        let account = &self.accounts[self.accounts.len() / 2];
        self.measure_ticket(ChangeTicket {
            number: 2,
            accounts: vec![account_spec(account)],
            models: Vec::new(),
            pools: Vec::new(),
            services: Vec::new(),
            delete: Vec::new(),
        })
    }

    fn measure_pool_ticket(&self) -> (u64, u64) {
        self.measure_ticket(ChangeTicket {
            number: 2,
            accounts: Vec::new(),
            models: Vec::new(),
            pools: vec![pool_spec(0, &self.fleet.nodes[..30])],
            services: Vec::new(),
            delete: Vec::new(),
        })
    }

    /// Measures the application of a ticket together with the delta from the revision before it.
    fn measure_ticket(&self, ticket: ChangeTicket) -> (u64, u64) {
        let mut config = self.config.clone();
        let mut apply = || {
            config.apply(&ticket);
            config.delta_since(config.revision - 1)
        };
        let bytes = json_bytes(&apply());
        (median_ns(apply), bytes)
    }

    fn measure_membership_change(&self) -> (u64, u64) {
        let mut members = self.members.clone();
        let node = &self.fleet.nodes[self.fleet.nodes.len() / 2];
        let mut record = member_record(node, 2);
        let bytes = json_bytes(&record);
        let nanoseconds = median_ns(|| {
            record.incarnation += 1;
            members.merge(&record)
        });
        (nanoseconds, bytes)
    }
}

/// Returns the memory of a plan, in bytes: a shared name and a cumulative rate for each endpoint, and the
/// paths.
fn plan_bytes(plan: &RoutePlan) -> u64 {
    let members: usize = plan
        .classes()
        .iter()
        .map(|class| class.members().len())
        .sum();
    let stages: usize = plan.paths().iter().map(|path| path.classes.len()).sum();
    let member_bytes = size_of::<EndpointName>() + size_of::<u64>();
    let stage_bytes = size_of::<usize>();
    let fixed = size_of_val(plan.classes()) + size_of_val(plan.paths());
    (members * member_bytes + stages * stage_bytes + fixed) as u64
}

fn json_bytes(value: &impl Serialize) -> u64 {
    serde_json::to_vec(value).map_or(0, |text| text.len() as u64)
}

fn account_name(number: usize) -> AccountName {
    AccountName::parse(&format!("account-{number:05}")).expect("the name is valid")
}

fn account_spec(name: &AccountName) -> AccountSpec {
    AccountSpec {
        name: name.clone(),
        secret_sha256: "0".repeat(64),
        units_per_second: 1_000,
        burst_units: 10_000,
        weight: 1,
        priority: 0,
        services: Vec::new(),
        models: vec![model_name()],
    }
}

fn pool_spec(index: usize, nodes: &[FlowNode]) -> PoolSpec {
    let endpoints = nodes.iter().map(|node| PoolMember {
        name: node.endpoint.clone(),
        first_layer: node.range.first,
        end_layer: node.range.end,
        tokens_per_second: node.tokens_per_second as u32,
    });
    PoolSpec {
        name: PoolName::parse(&format!("pool-{index:04}")).expect("the name is valid"),
        model: model_name(),
        version: 1,
        min_ready: 20,
        endpoints: endpoints.collect(),
    }
}

fn model_name() -> ModelName {
    ModelName::parse("model").expect("the name is valid")
}

fn member_record(node: &FlowNode, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: node.endpoint.as_str().to_owned(),
        role: MemberRole::Endpoint,
        host: HostName::parse(node.endpoint.as_str()).expect("the name is valid"),
        zone: node.zone.clone(),
        address: "10.20.30.40:7000".to_owned(),
        incarnation,
        state: MemberState::Live,
        sequence: 0,
        held: None,
    }
}
