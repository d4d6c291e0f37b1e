use dandelionroad_core::admit::AdmitItem;
use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::stream::LayerRange;

use super::RequestSpec;
use super::sim_clock::MILLI_US;
use super::sim_clock::milli_time;

/// A simulated request and the progress of its run.
pub(super) struct SimRequest {
    pub(super) spec: RequestSpec,
    pub(super) account: AccountName,
    pub(super) entry: usize,
    pub(super) attempt: u32,
    pub(super) retries: u32,
    /// The engine and the layers of each stage.
    pub(super) route: Vec<(usize, LayerRange)>,
    pub(super) generated: u32,
    pub(super) is_started: bool,
    pub(super) is_ended: bool,
    pub(super) first_token_us: u64,
}

impl SimRequest {
    pub(super) fn new(spec: RequestSpec, entry: usize) -> SimRequest {
        let account = format!("account-{}", spec.account);
        SimRequest {
            spec,
            account: AccountName::parse(&account).expect("the name is valid"),
            entry,
            attempt: 0,
            retries: 0,
            route: Vec::new(),
            generated: 0,
            is_started: false,
            is_ended: false,
            first_token_us: 0,
        }
    }

    /// Returns the cost of the whole request, in work units.
    pub(super) fn units(&self) -> u64 {
        let generated = u64::from(self.spec.generated_tokens);
        WorkUnits::default().of_request(u64::from(self.spec.prompt_tokens), generated)
    }

    /// Returns the cost of prefilling the prompt and the tokens generated so far, in work units.
    pub(super) fn replay_units(&self) -> u64 {
        let tokens = u64::from(self.spec.prompt_tokens) + u64::from(self.generated);
        WorkUnits::default().of_request(tokens, 0)
    }

    /// Returns the deadline as a simulated time, in microseconds.
    pub(super) fn deadline_us(&self) -> u64 {
        self.spec.arrival_us + self.spec.deadline_ms * MILLI_US
    }

    /// Returns the item for the admission queue of the head.
    pub(super) fn admit_item(&self, index: usize) -> AdmitItem {
        AdmitItem {
            request: RequestIdent::parse(&index.to_string()).expect("digits are valid"),
            account: self.account.clone(),
            weight: 1,
            priority: 0,
            units: self.units(),
            deadline: milli_time(self.deadline_us()),
            is_suspect: false,
        }
    }
}
