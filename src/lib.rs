/*!
dandelionroad routes requests through model pipelines over mixed accelerators.

This crate is a facade. It re-exports [`core`], the decision logic without I/O, and [`settings`],
the settings of the daemon. The daemon `dandelionroad` and the command-line tool `dandelionctl` are
separate crates.

# Example: a route covers the layers of a model once, in order

```
use dandelionroad::core::ident::EndpointName;
use dandelionroad::core::stream::ChainRoute;
use dandelionroad::core::stream::LayerRange;
use dandelionroad::core::stream::RouteStage;

let stage = |name, range| RouteStage {
    endpoint: EndpointName::parse(name).unwrap(),
    address: "127.0.0.1:7000".to_owned(),
    range,
};
let route = ChainRoute {
    stages: vec![stage("east", LayerRange::new(0, 12)), stage("west", LayerRange::new(12, 32))],
};
assert!(route.covers(32));
assert!(!route.covers(40));
```
*/

pub use dandelionroad_core as core;
pub use dandelionroad_settings as settings;
