use crate::ident::ZoneName;

use super::EndpointClass;
use super::FlowLink;
use super::FlowNode;
use super::FlowPath;
use super::RoutePlan;
use super::flow_solver::FlowSolver;

/// The capacity of an edge that does not limit the flow.
const UNLIMITED: u64 = 1 << 48;

/// The flow network of a model's layer ranges, from which its route plan is computed.
///
/// An endpoint hands over at the end of its range to an endpoint that holds the next layer. A token
/// costs an endpoint the same whichever part of its range a route uses, because the configuration
/// states one rate for the whole range. Whole-model engines are paths of one stage.
///
/// # Example
///
/// ```
/// use dandelionroad_core::ident::EndpointName;
/// use dandelionroad_core::ident::ZoneName;
/// use dandelionroad_core::route::FlowGraph;
/// use dandelionroad_core::route::FlowNode;
/// use dandelionroad_core::stream::LayerRange;
///
/// let node = |name, first, end, tokens_per_second| FlowNode {
///     endpoint: EndpointName::parse(name).unwrap(),
///     zone: ZoneName::parse("talca").unwrap(),
///     range: LayerRange::new(first, end),
///     tokens_per_second,
/// };
/// let nodes = [node("a", 0, 16, 90), node("b", 16, 32, 60), node("c", 0, 32, 40)];
/// let plan = FlowGraph::new(32, &nodes, &[]).plan();
/// assert_eq!(plan.bound(), 100);
/// ```
pub struct FlowGraph {
    layers: u16,
    classes: Vec<EndpointClass>,
    zones: Vec<ZoneName>,
    /// The layers at which endpoint ranges end, ascending; stages hand over there.
    positions: Vec<u16>,
    links: Vec<FlowLink>,
}

/// An edge of the solver for one hand-over position between two zones.
struct ZoneEdge {
    /// The index of the sending zone.
    from: usize,
    /// The index of the receiving zone.
    to: usize,
    /// The index of the hand-over position.
    position: usize,
    /// The index of the edge in the solver.
    index: usize,
}

impl FlowGraph {
    /// Creates the graph of a model with `layers` layers.
    ///
    /// Nodes with an empty range, a range beyond the last layer or no capacity are ignored.
    pub fn new(layers: u16, nodes: &[FlowNode], links: &[FlowLink]) -> FlowGraph {
        let mut sorted: Vec<&FlowNode> = nodes
            .iter()
            .filter(|node| !node.range.is_empty() && node.range.end <= layers)
            .filter(|node| node.tokens_per_second > 0)
            .collect();
        sorted.sort_by_key(|node| (&node.zone, node.range, &node.endpoint));
        let mut classes: Vec<EndpointClass> = Vec::new();
        for node in sorted {
            let is_same_class = classes
                .last()
                .is_some_and(|class| class.zone == node.zone && class.range == node.range);
            if !is_same_class {
                classes.push(EndpointClass::new(node.zone.clone(), node.range));
            }
            if let Some(class) = classes.last_mut() {
                class.push(node.endpoint.clone(), node.tokens_per_second);
            }
        }
        let mut zones: Vec<ZoneName> = classes.iter().map(|class| class.zone.clone()).collect();
        zones.dedup();
        let mut positions: Vec<u16> = classes.iter().map(|class| class.range.end).collect();
        positions.sort_unstable();
        positions.dedup();
        FlowGraph {
            layers,
            classes,
            zones,
            positions,
            links: links.to_vec(),
        }
    }

    /// Computes the upper bound on the throughput and the paths of a feasible flow.
    ///
    /// The bound counts the capacity of a link between zones once for each hand-over position, so
    /// it may exceed what the link carries. The paths respect the sum over all positions.
    pub fn plan(&self) -> RoutePlan {
        let mut capacities = self.link_capacities();
        let mut bound = None;
        // Terminates, because each pass splits the capacity of at least one more link: the flow over a
        // link can't exceed its capacity once the capacity is split between the positions.
        loop {
            let (mut solver, zone_edges) = self.build_solver(&capacities);
            let total = solver.maximize(self.source(), self.sink());
            let bound = *bound.get_or_insert(total);
            if self.split_overloaded_links(&solver, &zone_edges, &mut capacities) {
                let paths = self.decompose_flow(&mut solver);
                return RoutePlan::new(self.layers, bound, self.classes.clone(), paths);
            }
        }
    }

    fn source(&self) -> usize {
        0
    }

    fn sink(&self) -> usize {
        1
    }

    /// Returns the vertex that collects the input of a class; the next vertex is its output.
    fn class_vertex(&self, class: usize) -> usize {
        2 + 2 * class
    }

    /// Returns the vertex that collects the output of a zone's endpoints at a hand-over position.
    ///
    /// The vertex with the next index distributes the input of the zone at the position to its
    /// endpoints. With a single vertex for both, the flow could use a third zone as a relay.
    fn hub_vertex(&self, zone: usize, position: usize) -> usize {
        2 + 2 * self.classes.len() + 2 * (zone * self.positions.len() + position)
    }

    fn zone_index(&self, zone: &ZoneName) -> usize {
        self.zones.partition_point(|known| known < zone)
    }

    /// Returns the capacity for each sending zone, receiving zone and position, in the order of
    /// `capacity_index`.
    fn link_capacities(&self) -> Vec<u64> {
        let mut capacities = Vec::new();
        for from in &self.zones {
            for to in &self.zones {
                let capacity = self.link_capacity(from, to);
                capacities.extend(self.positions.iter().map(|_| capacity));
            }
        }
        capacities
    }

    fn link_capacity(&self, from: &ZoneName, to: &ZoneName) -> u64 {
        self.links
            .iter()
            .find(|link| link.from == *from && link.to == *to)
            .map_or(UNLIMITED, |link| link.tokens_per_second.min(UNLIMITED))
    }

    fn capacity_index(&self, from: usize, to: usize, position: usize) -> usize {
        (from * self.zones.len() + to) * self.positions.len() + position
    }

    fn build_solver(&self, capacities: &[u64]) -> (FlowSolver, Vec<ZoneEdge>) {
        let vertices = self.hub_vertex(self.zones.len(), 0);
        let mut solver = FlowSolver::new(vertices);
        for (index, class) in self.classes.iter().enumerate() {
            self.add_class(&mut solver, index, class);
        }
        let mut zone_edges = Vec::new();
        for from in 0..self.zones.len() {
            for to in 0..self.zones.len() {
                for position in 0..self.positions.len() {
                    let capacity = capacities[self.capacity_index(from, to, position)];
                    let index = solver.add_edge(
                        self.hub_vertex(from, position),
                        self.hub_vertex(to, position) + 1,
                        capacity,
                    );
                    zone_edges.push(ZoneEdge {
                        from,
                        to,
                        position,
                        index,
                    });
                }
            }
        }
        (solver, zone_edges)
    }

    fn add_class(&self, solver: &mut FlowSolver, index: usize, class: &EndpointClass) {
        let vertex = self.class_vertex(index);
        let zone = self.zone_index(&class.zone);
        solver.add_edge(vertex, vertex + 1, class.tokens_per_second());
        if class.range.first == 0 {
            solver.add_edge(self.source(), vertex, UNLIMITED);
        }
        for (position, layer) in self.positions.iter().enumerate() {
            if class.range.first <= *layer && *layer < class.range.end {
                solver.add_edge(self.hub_vertex(zone, position) + 1, vertex, UNLIMITED);
            }
            if *layer != class.range.end {
                continue;
            }
            let target = match *layer == self.layers {
                true => self.sink(),
                false => self.hub_vertex(zone, position),
            };
            solver.add_edge(vertex + 1, target, UNLIMITED);
        }
    }

    /// Splits the capacity of each overloaded link between its positions in proportion to their
    /// flow.
    ///
    /// Returns whether the flow was feasible, which means that no link was overloaded.
    fn split_overloaded_links(
        &self,
        solver: &FlowSolver,
        zone_edges: &[ZoneEdge],
        capacities: &mut [u64],
    ) -> bool {
        let mut is_feasible = true;
        for edges in zone_edges.chunks(self.positions.len().max(1)) {
            let capacity = self.link_capacity(&self.zones[edges[0].from], &self.zones[edges[0].to]);
            let flow: u64 = edges.iter().map(|edge| solver.flow(edge.index)).sum();
            if flow <= capacity {
                continue;
            }
            is_feasible = false;
            for edge in edges {
                let share = solver.flow(edge.index) * capacity / flow;
                capacities[self.capacity_index(edge.from, edge.to, edge.position)] = share;
            }
        }
        is_feasible
    }

    fn decompose_flow(&self, solver: &mut FlowSolver) -> Vec<FlowPath> {
        let class_end = self.class_vertex(self.classes.len());
        let mut paths = Vec::new();
        while let Some((edges, amount)) = solver.extract_path(self.source(), self.sink()) {
            let classes = edges
                .iter()
                .map(|index| solver.target(*index))
                .filter(|vertex| (2..class_end).contains(vertex) && vertex % 2 == 0)
                .map(|vertex| (vertex - 2) / 2)
                .collect();
            paths.push(FlowPath {
                classes,
                tokens_per_second: amount,
            });
        }
        paths
    }
}
