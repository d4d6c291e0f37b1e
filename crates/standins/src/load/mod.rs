/*!
The load generator, which sends requests to entries as callers do and reports outcomes and latency
percentiles.

A fixed number of concurrent callers send one request after the other (a closed loop), so a slow
system lowers the request rate. If the number of layers of the model is given, streamed answers are
compared with those of [`TokenModel`](crate::engine::TokenModel).
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
mod server_event;
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
