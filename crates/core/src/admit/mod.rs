/*!
Admission: work units, the fair queue of an endpoint, limits of client accounts, the retry budget
and the counts of crashing requests.
*/

mod account_limiter;
mod account_share;
mod account_shares;
mod admit_batch;
mod admit_config;
mod admit_item;
mod admit_queue;
mod admit_refusal;
mod crash_ledger;
mod crash_verdict;
mod pace_estimate;
mod priority_credit;
mod retry_budget;
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
