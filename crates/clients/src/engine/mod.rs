/*!
Clients of model engines.

A whole-model engine generates an answer as a stream of tokens. A layer-range engine runs single
steps of the layers that it holds, so that a chain of such engines serves a model.
*/

mod engine_client;
mod engine_order;
mod engine_state;
mod engine_step;
mod event_decoder;
mod generate_order;
mod generated_token;
mod http_engine;
mod step_output;

pub use self::engine_client::EngineClient;
pub use self::engine_order::EngineOrder;
pub use self::engine_state::EngineState;
pub use self::engine_step::EngineStep;
pub use self::generate_order::GenerateOrder;
pub use self::generated_token::GeneratedToken;
pub use self::http_engine::HttpEngine;
pub use self::step_output::StepOutput;
