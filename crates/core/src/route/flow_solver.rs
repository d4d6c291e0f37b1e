//! Maximum flow by Dinic's algorithm.

/// A directed edge with its residual capacity.
///
/// Edges are stored in pairs with the reverse edge at the next index, so that flipping the lowest
/// bit of an index gives the other edge of the pair.
struct FlowEdge {
    target: usize,
    residual: u64,
}

/// A flow network of vertices and directed edges with capacities.
pub(crate) struct FlowSolver {
    edges: Vec<FlowEdge>,
    /// The indices of the edges that leave each vertex, reverse edges included.
    outgoing: Vec<Vec<usize>>,
}

impl FlowSolver {
    pub(crate) fn new(vertices: usize) -> FlowSolver {
        FlowSolver {
            edges: Vec::new(),
            outgoing: vec![Vec::new(); vertices],
        }
    }

    /// Adds an edge and returns its index.
    pub(crate) fn add_edge(&mut self, source: usize, target: usize, capacity: u64) -> usize {
        let index = self.edges.len();
        self.edges.push(FlowEdge {
            target,
            residual: capacity,
        });
        self.edges.push(FlowEdge {
            target: source,
            residual: 0,
        });
        self.outgoing[source].push(index);
        self.outgoing[target].push(index + 1);
        index
    }

    /// Returns the flow through the edge `index`.
    pub(crate) fn flow(&self, index: usize) -> u64 {
        self.edges[index ^ 1].residual
    }

    /// Returns the vertex that the edge `index` leads to.
    pub(crate) fn target(&self, index: usize) -> usize {
        self.edges[index].target
    }

    /// Maximizes the flow from `source` to `sink` and returns its value.
    pub(crate) fn maximize(&mut self, source: usize, sink: usize) -> u64 {
        let mut total = 0;
        while let Some(levels) = self.levels(source, sink) {
            let mut cursors = vec![0; self.outgoing.len()];
            loop {
                let pushed = self.push(source, sink, u64::MAX, &levels, &mut cursors);
                if pushed == 0 {
                    break;
                }
                total += pushed;
            }
        }
        total
    }

    /// Removes one path of positive flow from an acyclic flow and returns its edges and its amount.
    ///
    /// Repeated calls decompose the flow into paths.
    pub(crate) fn extract_path(&mut self, source: usize, sink: usize) -> Option<(Vec<usize>, u64)> {
        let mut path = Vec::new();
        let mut vertex = source;
        while vertex != sink {
            let index = self.outgoing[vertex]
                .iter()
                .copied()
                .find(|index| index % 2 == 0 && self.flow(*index) > 0)?;
            path.push(index);
            vertex = self.edges[index].target;
        }
        let amount = path.iter().map(|index| self.flow(*index)).min()?;
        for index in &path {
            self.edges[index ^ 1].residual -= amount;
        }
        Some((path, amount))
    }

    /// Returns the distance of each vertex from `source` in the residual network, or `None` if
    /// `sink` can't be reached.
    fn levels(&self, source: usize, sink: usize) -> Option<Vec<usize>> {
        let mut levels = vec![usize::MAX; self.outgoing.len()];
        levels[source] = 0;
        let mut queue = vec![source];
        let mut next = 0;
        while next < queue.len() {
            let vertex = queue[next];
            next += 1;
            for index in &self.outgoing[vertex] {
                let edge = &self.edges[*index];
                if edge.residual > 0 && levels[edge.target] == usize::MAX {
                    levels[edge.target] = levels[vertex] + 1;
                    queue.push(edge.target);
                }
            }
        }
        (levels[sink] != usize::MAX).then_some(levels)
    }

    /// Pushes up to `limit` along one path of ascending levels and returns the amount.
    ///
    /// `cursors` holds the next outgoing edge to try at each vertex, so that dead ends are visited
    /// once per phase.
    fn push(
        &mut self,
        vertex: usize,
        sink: usize,
        limit: u64,
        levels: &[usize],
        cursors: &mut [usize],
    ) -> u64 {
        if vertex == sink {
            return limit;
        }
        while cursors[vertex] < self.outgoing[vertex].len() {
            let index = self.outgoing[vertex][cursors[vertex]];
            let target = self.edges[index].target;
            let residual = self.edges[index].residual;
            if residual > 0 && levels[target] == levels[vertex] + 1 {
                let pushed = self.push(target, sink, limit.min(residual), levels, cursors);
                if pushed > 0 {
                    self.edges[index].residual -= pushed;
                    self.edges[index ^ 1].residual += pushed;
                    return pushed;
                }
            }
            cursors[vertex] += 1;
        }
        0
    }
}
