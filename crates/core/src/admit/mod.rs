/*!
Admission control: which requests run, in which order, and which are refused or retried.

A load peak or a flood from one client account must not starve other accounts, and work that can't
finish before its deadline must not occupy an engine. An entry charges each request to its account
([`AccountLimiter`]) and limits retries to a share of the requests ([`RetryBudget`]). An endpoint
queues requests fairly by account and priority and refuses those that would be late ([`AdmitQueue`]).
Costs are counted in work units ([`WorkUnits`]). A request that has crashed engines repeatedly is
refused, so that it can't bring down one engine after another ([`CrashLedger`]).
*/

mod account_limiter;
mod account_state;
mod account_table;
mod admit_batch;
mod admit_config;
mod admit_item;
mod admit_queue;
mod admit_refusal;
mod crash_ledger;
mod crash_verdict;
mod priority_credit;
mod retry_budget;
mod service_estimate;
mod step_queue;
mod work_units;

pub use self::account_limiter::AccountLimiter;
pub use self::admit_batch::AdmitBatch;
pub use self::admit_config::AdmitConfig;
pub use self::admit_item::AdmitItem;
pub use self::admit_queue::AdmitQueue;
pub use self::admit_refusal::AdmitRefusal;
pub use self::crash_ledger::CrashLedger;
pub use self::crash_verdict::CrashVerdict;
pub use self::retry_budget::RetryBudget;
pub use self::step_queue::StepQueue;
pub use self::work_units::WorkUnits;
