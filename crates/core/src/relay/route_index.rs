use super::RelayConfig;
use super::RelayRoute;

/// Finds the route of a request by host and longest path prefix.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::RouteIndex;
///
/// let index = RouteIndex::default();
/// assert_eq!(index.find("shop.example", "/orders/1"), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// The host, prefix and position of each route, sorted by host and prefix.
    entries: Vec<(String, String, usize)>,
}

impl RouteIndex {
    /// Creates the index of a configuration's routes.
    pub fn new(config: &RelayConfig) -> RouteIndex {
        let route_entry = |(position, route): (usize, &RelayRoute)| {
            (
                route.host.to_ascii_lowercase(),
                route.prefix.clone(),
                position,
            )
        };
        let mut entries: Vec<_> = config.routes.iter().enumerate().map(route_entry).collect();
        entries.sort();
        RouteIndex { entries }
    }

    /// Returns the position of the route with the longest prefix of `path`.
    ///
    /// A port in `host` is ignored, as is the case of its letters.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = name.to_ascii_lowercase();
        // Each prefix ends with a slash, so the slashes of the path mark the only candidates.
        let slashes = path.rmatch_indices('/').map(|(index, _)| &path[..=index]);
        slashes.into_iter().find_map(|prefix| {
            let found = self.entries.binary_search_by(|(host, known, _)| {
                host.as_str()
                    .cmp(&name)
                    .then_with(|| known.as_str().cmp(prefix))
            });
            found.ok().map(|index| self.entries[index].2)
        })
    }
}
