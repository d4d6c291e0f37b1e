//! The baseline of the recovery measurement: a client that detects faults as the entry does, but
//! restarts the whole request under a new identifier.

use std::time::Duration;

use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::RouteStage;
use dandelionroad_core::stream::StreamEvent;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_daemon::node::PeerPool;
use dandelionroad_messages::StreamItem;
use dandelionroad_messages::stream_api::StreamApiClient;
use jsonrpsee::core::client::Subscription;
use tokio::time::Instant;

use super::recovery::FaultCase;
use super::recovery::TOKENS_BEFORE;
use super::recovery::start_cluster;
use super::stream_support::TestCluster;
use super::token_pause::TokenPause;

const TOKENS_AFTER: u32 = 20;

/// The time without a token after which the baseline restarts; half the step deadline of the
/// daemon.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns the time from the fault to the next new token of the restarted request.
pub(crate) async fn measure_restart(case: &FaultCase, prompt: &str) -> Duration {
    let cluster = start_cluster().await;
    let peers = PeerPool::new(&cluster.entry.context.settings.cluster);
    // The first route starts, as at the entry, with the last endpoint of each pair of overlapping
    // ranges, which gives the longest ranges.
    let first = build_route(&cluster, &[1, 3, 5], &[0, 6, 9, 12]);
    let second = match case.stage {
        0 => build_route(&cluster, &[0, 3, 5], &[0, 5, 9, 12]),
        _ => build_route(&cluster, &[1, 2, 5], &[0, 6, 9, 12]),
    };
    let victim = [1, 3, 5][case.stage];
    let mut events = open_stream(&peers, "first", prompt, first).await;
    let mut delivered = 0;
    let mut pause = TokenPause::start();
    let mut is_applied = false;
    let mut has_failed = false;
    let mut token_at = Instant::now();
    while delivered < TOKENS_BEFORE as u32 + TOKENS_AFTER {
        let next = tokio::time::timeout_at(token_at + SILENCE_TIMEOUT, events.next());
        let has_fault = match next.await {
            Ok(Some(Ok(item))) => match item.event {
                StreamEvent::Token { position, .. } => {
                    token_at = Instant::now();
                    if position == delivered {
                        delivered += 1;
                        pause.record();
                    }
                    false
                }
                StreamEvent::StageFault { .. } => true,
                _ => false,
            },
            _ => true,
        };
        if has_fault {
            assert!(!has_failed, "the restarted request failed");
            has_failed = true;
            events = open_stream(&peers, "second", prompt, second.clone()).await;
            token_at = Instant::now();
        }
        if delivered == TOKENS_BEFORE as u32 && !is_applied {
            is_applied = true;
            (case.apply)(&cluster, victim);
            pause = TokenPause::start();
        }
    }
    pause.end()
}

fn build_route(cluster: &TestCluster, stages: &[usize], bounds: &[u16]) -> ChainRoute {
    let stages = stages.iter().zip(bounds.windows(2));
    let stages = stages.map(|(index, bounds)| RouteStage {
        endpoint: cluster.stages[*index].name.parse().expect("a valid name"),
        address: cluster.stages[*index].link.address.to_string(),
        range: LayerRange::new(bounds[0], bounds[1]),
    });
    ChainRoute {
        stages: stages.collect(),
    }
}

async fn open_stream(
    peers: &PeerPool,
    request: &str,
    prompt: &str,
    route: ChainRoute,
) -> Subscription<StreamItem> {
    let address = route.stages[0].address.clone();
    let order = StreamOrder {
        request: RequestIdent::parse(request).expect("a valid name"),
        attempt: 0,
        account: AccountName::parse("cordeleria").expect("a valid name"),
        weight: 1,
        priority: 0,
        model: ModelName::parse("palm").expect("a valid name"),
        version: 1,
        fingerprint: String::new(),
        suspect: false,
        route,
        prompt: prompt.to_owned(),
        sent: Vec::new(),
        max_tokens: TOKENS_BEFORE as u32 + TOKENS_AFTER,
        deadline_in_ms: 20_000,
    };
    let client = peers.client(&address).await.expect("the head is up");
    client.stream_open(order).await.expect("the head is up")
}
