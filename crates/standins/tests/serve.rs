//! The control listener of the binary `dandelion-standins`.

use std::time::Duration;

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::service::HttpService;
use dandelionroad_clients::service::ServiceCall;
use dandelionroad_clients::service::ServiceClient;
use dandelionroad_clients::table::HttpTable;
use dandelionroad_clients::table::TableClient;
use dandelionroad_standins::serve::ServeOptions;
use dandelionroad_standins::serve::StandinSet;

/// Guards against fault switches that the control listener accepts but that have no effect.
#[tokio::test]
async fn control_listener_takes_table_down() {
    let any_port = "127.0.0.1:0".parse().ok();
    let options = ServeOptions {
        table: any_port,
        control: any_port,
        ..ServeOptions::default()
    };
    let set = StandinSet::start(&options).await.unwrap();
    let [(_, table), (_, control)] = set.urls() else {
        panic!(
            "expected the URLs of the table service and the control listener, got {:?}",
            set.urls()
        );
    };
    let deadline = Duration::from_secs(20);
    let control = HttpService::new(control, deadline);
    let call = |name: &str| ServiceCall {
        method: "PUT".to_owned(),
        path: format!("/control/{name}"),
        content_type: "application/json".to_owned(),
        body: r#"{"mode":"down"}"#.to_owned(),
        key: None,
        fence: 0,
    };
    assert_eq!(control.call(&call("object")).await.unwrap().status, 404);
    assert_eq!(control.call(&call("table")).await.unwrap().status, 204);
    let table = HttpTable::new(table, deadline);
    while !matches!(
        table.read("a").await,
        Err(PlatformError::Unreachable { .. })
    ) {}
}
