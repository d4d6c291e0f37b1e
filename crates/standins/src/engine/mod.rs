/*!
Stand-ins for model engines.

A layer-range engine runs single steps of the layers that it holds; a whole-model engine generates
complete answers. Both run their work in batches, keep a prefix cache and sessions, and take load
and unload orders with fencing tokens.

The generated tokens depend only on prompt, model version, number of layers and position. A test
computes the answer that it expects with [`TokenModel`], so a step that is skipped, repeated or out
of order shows up as a wrong answer.

```
use dandelionroad_standins::engine::TokenModel;

let model = TokenModel::new(1, 12);
let answer = model.answer("how do I splice a hawser [length=3]", 8);
assert_eq!(answer.len(), 3);
```
*/

mod batch_job;
mod batch_loop;
mod batch_work;
mod cache_event;
mod engine_context;
mod engine_faults;
mod engine_memory;
mod engine_mode;
mod engine_options;
mod engine_routes;
mod engine_spec;
mod engine_standin;
mod engine_stats;
mod generate_session;
mod layer_session;
mod layer_state;
mod prefix_cache;
mod step_record;
mod token_model;

pub use self::cache_event::CacheEvent;
pub use self::engine_faults::EngineFaults;
pub use self::engine_mode::EngineMode;
pub use self::engine_options::EngineOptions;
pub use self::engine_spec::EngineSpec;
pub use self::engine_standin::EngineStandin;
pub use self::engine_stats::EngineStats;
pub use self::step_record::StepRecord;
pub use self::token_model::TokenModel;
