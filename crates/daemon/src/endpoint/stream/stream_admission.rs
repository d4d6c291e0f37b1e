use std::sync::Arc;
use std::sync::Mutex;

use dandelionroad_core::admit::AdmitConfig;
use dandelionroad_core::admit::AdmitItem;
use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::route::LoadReport;
use dandelionroad_core::stream::StreamOrder;

use crate::endpoint::admission::WorkGate;
use crate::endpoint::admission::WorkPermit;
use crate::entry::routing::RoutingState;
use crate::node::NodeContext;

/// The time after which a request refused by a leaving process may be retried, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The rate assumed until the configuration sets one, in tokens per second.
const DEFAULT_TOKENS_PER_SECOND: u64 = 100;

/// Admits model requests through a queue at the head of their route.
pub(super) struct StreamAdmission {
    context: Arc<NodeContext>,
    gate: Arc<WorkGate>,
    /// The configuration from which the rate was last read.
    rate_config: Mutex<Arc<ConfigState>>,
}

impl StreamAdmission {
    /// Creates the admission with an empty queue.
    pub(super) fn new(context: Arc<NodeContext>) -> StreamAdmission {
        let settings = &context.settings;
        let rate = WorkUnits::default().per_second(DEFAULT_TOKENS_PER_SECOND);
        let config = AdmitConfig::new(settings.queue_units, settings.concurrency, rate);
        StreamAdmission {
            gate: WorkGate::new(context.clock, config),
            rate_config: Mutex::default(),
            context,
        }
    }

    /// Waits until the request may start, or refuses it with the time after which to retry, in
    /// milliseconds.
    pub(super) async fn admit(
        &self,
        order: &StreamOrder,
    ) -> Result<WorkPermit, (RefusalReason, u64)> {
        if self.is_leaving() {
            return Err((RefusalReason::Leaving, RETRY_AFTER_MS));
        }
        self.update_rate();
        let item = AdmitItem {
            request: order.request.clone(),
            account: order.account.clone(),
            weight: order.weight,
            priority: order.priority,
            units: RoutingState::request_units(order),
            deadline: self.context.clock.now().plus(order.deadline_in_ms),
            is_suspect: order.suspect,
        };
        self.gate.admit(item).await
    }

    /// Returns whether this process refuses new work because it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.context.local_record.borrow().state != MemberState::Live
    }

    /// Returns the current load of the queue.
    pub(super) fn load_report(&self) -> LoadReport {
        self.gate.load_report()
    }

    /// Reads the rate of this endpoint again if the configuration has changed.
    fn update_rate(&self) {
        let config = self.context.config.borrow().clone();
        let mut rate_config = self
            .rate_config
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        if Arc::ptr_eq(&rate_config, &config) {
            return;
        }
        let name = &self.context.settings.name;
        let members = config.pools.iter().flat_map(|pool| &pool.endpoints);
        let rate = members
            .filter(|member| member.name.as_str() == name)
            .map(|member| u64::from(member.tokens_per_second))
            .max();
        if let Some(rate) = rate {
            self.gate.set_rate(WorkUnits::default().per_second(rate));
        }
        *rate_config = config;
    }
}
