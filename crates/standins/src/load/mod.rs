/*!
The load tool: bounded loads of callers' requests, with outcomes and latency percentiles.
*/

mod call_outcome;
mod call_result;
mod caller_client;
mod event_reader;
mod load_command;
mod load_kind;
mod load_plan;
mod load_report;
mod load_run;
mod read_event;
mod time_sample;

pub use self::call_outcome::CallOutcome;
pub use self::call_result::CallResult;
pub use self::caller_client::CallerClient;
pub use self::load_command::LoadCommand;
pub use self::load_kind::LoadKind;
pub use self::load_plan::LoadPlan;
pub use self::load_report::LoadReport;
pub use self::load_run::run_load;
pub use self::load_run::run_load_until;
pub use self::time_sample::TimeSample;
