//! Maximum flow by Dinic's algorithm.

/// An edge and, at the next index, its reverse edge.
struct FlowEdge {
    target: usize,
    residual: u64,
}

/// A network of vertices and directed edges with capacities.
pub(crate) struct FlowSolver {
    edges: Vec<FlowEdge>,
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

    /// Sends as much flow as fits and returns its amount.
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

    /// Takes one path of positive flow out of an acyclic flow: its edges and its amount.
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
