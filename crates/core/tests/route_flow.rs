//! Maximum flow over layer ranges, and routes drawn from it.
//!
//! Guards against a bound that is not the maximum flow, paths that exceed the capacity of an
//! endpoint or a link, and routes that skip, repeat or reorder layers.

mod seeded;

use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::ZoneName;
use dandelionroad_core::route::EndpointPicker;
use dandelionroad_core::route::EndpointSubset;
use dandelionroad_core::route::FlowGraph;
use dandelionroad_core::route::FlowLink;
use dandelionroad_core::route::FlowNode;
use dandelionroad_core::route::RouteChooser;
use dandelionroad_core::route::RoutePlan;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;

use self::seeded::for_each_seed;

const LAYERS: u16 = 4;
const ZONES: [&str; 2] = ["curico", "talca"];
/// The first layer, length and rate of a node, each reduced to its valid range, and whether the node
/// is in the second zone.
type NodeSeed = (u8, u8, u8, bool);

fn zone(index: usize) -> ZoneName {
    ZoneName::parse(ZONES[index]).unwrap()
}

fn nodes(seeds: &[NodeSeed]) -> Vec<FlowNode> {
    let node = |(index, (first, length, rate, is_second)): (usize, &NodeSeed)| {
        let first = u16::from(*first) % LAYERS;
        let end = first + 1 + u16::from(*length) % (LAYERS - first);
        FlowNode {
            endpoint: EndpointName::parse(&format!("e{index}")).unwrap(),
            zone: zone(usize::from(*is_second)),
            range: LayerRange::new(first, end),
            tokens_per_second: u64::from(*rate % 50) + 1,
        }
    };
    seeds.iter().enumerate().map(node).collect()
}

fn links(rates: [u8; 2]) -> Vec<FlowLink> {
    let link = |from: usize| FlowLink {
        from: zone(from),
        to: zone(1 - from),
        tokens_per_second: u64::from(rates[from] % 50),
    };
    vec![link(0), link(1)]
}

/// Returns whether a route remains when the nodes and links in `cut` fail.
///
/// The bits of `cut` are the nodes, then the links by sending zone and hand-over position.
fn has_route(nodes: &[FlowNode], cut: usize) -> bool {
    let is_cut = |bit: usize| cut >> bit & 1 == 1;
    let mut reached: Vec<usize> = (0..nodes.len())
        .filter(|index| nodes[*index].range.first == 0 && !is_cut(*index))
        .collect();
    let mut next = 0;
    while next < reached.len() {
        let node = &nodes[reached[next]];
        let end = node.range.end;
        next += 1;
        if end == LAYERS {
            return true;
        }
        let from = usize::from(node.zone != zone(0));
        let link = nodes.len() + from * (usize::from(LAYERS) - 1) + usize::from(end) - 1;
        for (index, other) in nodes.iter().enumerate() {
            let holds = other.range.first <= end && end < other.range.end;
            let is_linked = other.zone == node.zone || !is_cut(link);
            if holds && is_linked && !is_cut(index) && !reached.contains(&index) {
                reached.push(index);
            }
        }
    }
    false
}

/// Returns the capacity of the minimum cut, found by trying every set of nodes and links.
fn brute_force_bound(nodes: &[FlowNode], links: &[FlowLink]) -> u64 {
    let positions = usize::from(LAYERS) - 1;
    let rates: Vec<u64> = nodes
        .iter()
        .map(|node| node.tokens_per_second)
        .chain((0..2 * positions).map(|index| links[index / positions].tokens_per_second))
        .collect();
    (0..1_usize << rates.len())
        .filter(|cut| !has_route(nodes, *cut))
        .map(|cut| {
            let is_cut = |(bit, rate): (usize, &u64)| if cut >> bit & 1 == 1 { *rate } else { 0 };
            rates.iter().enumerate().map(is_cut).sum()
        })
        .min()
        .unwrap_or_default()
}

fn link_flow(plan: &RoutePlan, from: usize) -> u64 {
    let classes = plan.classes();
    let crosses = |path: &Vec<usize>| {
        path.windows(2).any(|pair| {
            classes[pair[0]].zone == zone(from) && classes[pair[1]].zone == zone(1 - from)
        })
    };
    let paths = plan.paths().iter();
    paths
        .filter(|path| crosses(&path.classes))
        .map(|path| path.tokens_per_second)
        .sum()
}

#[test]
fn flow_graph_bound_equals_brute_force() {
    for_each_seed(150, |(seeds, rates): &([NodeSeed; 5], [u8; 2])| {
        let nodes = nodes(seeds);
        let links = links(*rates);
        let plan = FlowGraph::new(LAYERS, &nodes, &links).plan();
        assert_eq!(plan.bound(), brute_force_bound(&nodes, &links));
    });
}

#[test]
fn flow_graph_paths_respect_capacities() {
    for_each_seed(300, |(seeds, rates): &([NodeSeed; 8], [u8; 2])| {
        let nodes = nodes(seeds);
        let links = links(*rates);
        let unlimited = FlowGraph::new(LAYERS, &nodes, &[]).plan();
        assert_eq!(unlimited.tokens_per_second(), unlimited.bound());
        let plan = FlowGraph::new(LAYERS, &nodes, &links).plan();
        assert!(plan.tokens_per_second() <= plan.bound());
        for (index, class) in plan.classes().iter().enumerate() {
            let crossing = plan
                .paths()
                .iter()
                .filter(|path| path.classes.contains(&index));
            let flow: u64 = crossing.map(|path| path.tokens_per_second).sum();
            assert!(flow <= class.tokens_per_second());
        }
        for (from, link) in links.iter().enumerate() {
            assert!(link_flow(&plan, from) <= link.tokens_per_second);
        }
    });
}

#[test]
fn route_chooser_covers_layers_once_in_order() {
    for_each_seed(300, |(seeds, seed, index): &([NodeSeed; 8], u64, u8)| {
        let nodes = nodes(seeds);
        let plan = FlowGraph::new(LAYERS, &nodes, &[]).plan();
        let mut picker = EndpointPicker::new();
        let rates = nodes
            .iter()
            .map(|node| (node.endpoint.clone(), node.tokens_per_second));
        picker.set_endpoints(rates);
        let excluded = [nodes[usize::from(*index) % nodes.len()].endpoint.clone()];
        let chooser = RouteChooser {
            plan: &plan,
            picker: &picker,
            excluded: &excluded,
            now: MilliTime::from_millis(0),
        };
        let whole = LayerRange::new(0, LAYERS);
        for stages in [
            chooser.choose(10, *seed),
            chooser.choose_replacement(whole, 10),
        ] {
            let mut next = 0;
            for (endpoint, range) in stages.iter().flatten() {
                let node = nodes
                    .iter()
                    .find(|node| node.endpoint == *endpoint)
                    .unwrap();
                assert!(node.range.first <= range.first && range.end <= node.range.end);
                assert!(range.first == next && !range.is_empty());
                assert!(!excluded.contains(endpoint));
                next = range.end;
            }
            assert!(stages.is_none() || next == LAYERS);
        }
        let remaining: Vec<FlowNode> = nodes
            .iter()
            .filter(|node| !excluded.contains(&node.endpoint))
            .cloned()
            .collect();
        let is_possible = FlowGraph::new(LAYERS, &remaining, &[]).plan().bound() > 0;
        assert_eq!(chooser.choose_replacement(whole, 10).is_some(), is_possible);
    });
}

#[test]
fn endpoint_subset_keeps_others_on_membership_change() {
    // Guards against a subset that changes completely whenever an endpoint leaves.
    let seeds: Vec<NodeSeed> = (0..200).map(|index| (0, 3, 9, index % 2 == 0)).collect();
    let all = nodes(&seeds);
    let subset = EndpointSubset { per_class: 16 };
    let before = subset.select("entry-1", &all);
    assert_eq!(before.len(), 32);
    let remaining: Vec<FlowNode> = all
        .iter()
        .filter(|node| **node != before[3])
        .cloned()
        .collect();
    let after = subset.select("entry-1", &remaining);
    let replaced = before.iter().filter(|node| !after.contains(node)).count();
    assert_eq!(replaced, 1);
}
