use super::RelayConfig;
use super::RelayRoute;
use super::RelayService;

/// A class of requests of a service under shortage.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RequestClass {
    /// The priority of the client account, or that of the route if the account has none.
    account_priority: u8,
    route_priority: u8,
    /// The shortest target time of requests that are at least as urgent, in milliseconds.
    target_ms: u64,
}

/// The classes of requests of a model service for which admission under shortage applies, the most urgent first.
///
/// It applies to services whose configuration asks for it: their routes have several priorities, or their engines are
/// uneven (see [`ModelShape::has_uneven_kinds`](super::ModelShape::has_uneven_kinds)). The priority of a
/// client account takes precedence over that of the route, which decides between requests of accounts with the same
/// priority.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::ShortageControl;
///
/// let control = ShortageControl::new(vec![(1, 2, 1_000), (1, 0, 500), (0, 2, 1_000)]).unwrap();
/// assert_eq!(control.rank(0, 2), 0);
/// assert_eq!(control.rank(1, 0), 1);
/// assert_eq!(control.rank(1, 2), 2);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct ShortageControl {
    /// In ascending order, which is that of urgency.
    classes: Vec<RequestClass>,
}

impl ShortageControl {
    /// Returns the control of a service, or `None` if its configuration does not call for it.
    pub fn for_service(config: &RelayConfig, service: &RelayService) -> Option<ShortageControl> {
        let shape = service.model.as_ref()?;
        let leads_here = |route: &&RelayRoute| {
            let mut shares = route.shares.iter();
            shares.any(|share| share.service == service.name)
        };
        let routes: Vec<&RelayRoute> = config.routes.iter().filter(leads_here).collect();
        let first = routes.first()?;
        let is_ranked = routes.iter().any(|route| route.priority != first.priority);
        if !is_ranked && !shape.has_uneven_kinds() {
            return None;
        }
        let accounts = config.accounts.iter();
        let mut account_priorities: Vec<u8> =
            accounts.filter_map(|account| account.priority).collect();
        account_priorities.sort_unstable();
        account_priorities.dedup();
        let mut classes = Vec::new();
        for route in routes {
            classes.push((route.priority, route.priority, route.target_ms));
            let of_accounts = account_priorities.iter().filter(|_| !route.is_public);
            classes
                .extend(of_accounts.map(|priority| (*priority, route.priority, route.target_ms)));
        }
        ShortageControl::new(classes)
    }

    /// Returns the control of classes with these priorities of accounts and of routes and target times in
    /// milliseconds; `None` if there are none.
    pub fn new(classes: Vec<(u8, u8, u64)>) -> Option<ShortageControl> {
        let class = |(account_priority, route_priority, target_ms)| RequestClass {
            account_priority,
            route_priority,
            target_ms,
        };
        let mut classes: Vec<RequestClass> = classes.into_iter().map(class).collect();
        classes.sort_unstable();
        classes.dedup_by_key(|class| (class.account_priority, class.route_priority));
        let mut shortest_ms = u64::MAX;
        for class in &mut classes {
            shortest_ms = shortest_ms.min(class.target_ms);
            class.target_ms = shortest_ms;
        }
        (!classes.is_empty()).then_some(ShortageControl { classes })
    }

    /// Returns the rank of a request, 0 for the most urgent class.
    ///
    /// `account_priority` is that of the route if the account has none. Requests of classes that are not known, as
    /// during a change of the configuration, rank with the next less urgent ones.
    pub fn rank(&self, account_priority: u8, route_priority: u8) -> u8 {
        let rank = self.classes.partition_point(|class| {
            (class.account_priority, class.route_priority) < (account_priority, route_priority)
        });
        let last = self.classes.len() - 1;
        u8::try_from(rank.min(last)).unwrap_or(u8::MAX)
    }

    /// Returns the ranks of the classes.
    pub fn ranks(&self) -> impl Iterator<Item = u8> + use<> {
        let last = u8::try_from(self.classes.len() - 1).unwrap_or(u8::MAX);
        0..=last
    }

    /// Returns the shortest target time of the requests of a rank and of the more urgent ones, in milliseconds.
    pub fn target_ms(&self, rank: u8) -> u64 {
        let last = self.classes.len() - 1;
        self.classes[usize::from(rank).min(last)].target_ms
    }
}
