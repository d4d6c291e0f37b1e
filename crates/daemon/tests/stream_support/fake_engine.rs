use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dandelionroad_clients::ClientFuture;
use dandelionroad_clients::PlatformError;
use dandelionroad_clients::engine::EngineClient;
use dandelionroad_clients::engine::EngineOrder;
use dandelionroad_clients::engine::EngineState;
use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::GenerateOrder;
use dandelionroad_clients::engine::GeneratedToken;
use dandelionroad_clients::engine::StepOutput;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StepPayload;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::watch;

/// The number of layers of the model.
pub(crate) const LAYERS: u16 = 12;

/// The fault mode of a fake engine.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) enum EngineMode {
    /// Calls are answered after the step time.
    Running,
    /// Calls hang until the mode changes.
    Frozen,
    /// Calls fail as if the connection to the engine had been closed.
    Crashed,
}

/// A text in a prompt on which the first stage of a model crashes.
pub(crate) const FATAL_TEXT: &str = "the fatal instructions";

/// A text in a prompt on which the first stage of a model crashes after its first token.
pub(crate) const LATE_FATAL_TEXT: &str = "the treacherous instructions";

/// The state of a session: its next position and the state of each layer.
#[derive(Default)]
struct Session {
    position: u32,
    layers: HashMap<u16, String>,
    /// Whether the prompt holds [`LATE_FATAL_TEXT`].
    is_fatal: bool,
}

/// An engine whose layers hash their whole input history.
///
/// A step that runs out of order, twice or not at all changes every later token.
pub(crate) struct FakeEngine {
    sessions: Mutex<HashMap<String, Session>>,
    pub(crate) mode: watch::Sender<EngineMode>,
    /// The duration of a step.
    pub(crate) step_time: Duration,
    /// The number of tokens after which the model ends its answer.
    pub(crate) end_at: u32,
}

impl FakeEngine {
    pub(crate) fn new(step_time: Duration, end_at: u32) -> Arc<FakeEngine> {
        Arc::new(FakeEngine {
            sessions: Mutex::default(),
            mode: watch::Sender::new(EngineMode::Running),
            step_time,
            end_at,
        })
    }

    /// Returns the number of open sessions.
    pub(crate) fn session_count(&self) -> usize {
        self.sessions.lock().unwrap().len()
    }

    /// Drops every session and fails every call from now on.
    pub(crate) fn crash(&self) {
        self.sessions.lock().unwrap().clear();
        self.mode.send_replace(EngineMode::Crashed);
    }

    fn is_crashed_by(&self, step: &EngineStep) -> bool {
        let StepPayload::Text(text) = &step.payload else {
            return false;
        };
        let mut sessions = self.sessions.lock().unwrap();
        let session = sessions.entry(step.session.clone()).or_default();
        session.is_fatal |= text.contains(LATE_FATAL_TEXT);
        text.contains(FATAL_TEXT) || (session.is_fatal && step.position > 0)
    }

    async fn wait_step_time(&self) -> Result<(), PlatformError> {
        let mut mode = self.mode.subscribe();
        if !self.step_time.is_zero() {
            tokio::time::sleep(self.step_time).await;
        }
        let mode = mode.wait_for(|mode| *mode != EngineMode::Frozen).await;
        if mode.is_ok_and(|mode| *mode == EngineMode::Running) {
            return Ok(());
        }
        Err(PlatformError::Indeterminate {
            system: "engine",
            detail: "crashed".to_owned(),
        })
    }

    fn run(&self, step: &EngineStep) -> Result<StepOutput, PlatformError> {
        let mut sessions = self.sessions.lock().unwrap();
        let session = sessions.entry(step.session.clone()).or_default();
        if session.position != step.position {
            return Err(PlatformError::Rejected {
                system: "engine",
                status: 409,
                detail: format!("expected position {}", session.position),
            });
        }
        session.position += 1;
        let (StepPayload::Text(input) | StepPayload::Activation(input)) = &step.payload;
        let value = run_layers(&mut session.layers, step.range, input);
        if !step.is_last {
            return Ok(StepOutput {
                payload: StepPayload::Activation(value),
                is_end: false,
            });
        }
        Ok(StepOutput {
            payload: StepPayload::Text(token_text(&value)),
            is_end: step.position + 1 == self.end_at,
        })
    }
}

fn run_layers(layers: &mut HashMap<u16, String>, range: LayerRange, input: &str) -> String {
    let mut value = input.to_owned();
    for layer in range.first..range.end {
        let state = layers.entry(layer).or_default();
        let digest = Sha256::digest(format!("{layer}:{state}:{value}"));
        value = digest[..8].iter().map(|b| format!("{b:02x}")).collect();
        *state = value.clone();
    }
    value
}

fn token_text(value: &str) -> String {
    format!("{} ", &value[..6])
}

/// Returns the first tokens of the model's answer to a prompt.
pub(crate) fn expected_tokens(prompt: &str, count: u32) -> Vec<String> {
    let mut layers = HashMap::new();
    let mut tokens: Vec<String> = Vec::new();
    for _ in 0..count {
        let input = tokens.last().map_or(prompt, String::as_str);
        let value = run_layers(&mut layers, LayerRange::new(0, LAYERS), input);
        tokens.push(token_text(&value));
    }
    tokens
}

impl EngineClient for FakeEngine {
    fn step<'a>(&'a self, step: &'a EngineStep) -> ClientFuture<'a, StepOutput> {
        Box::pin(async move {
            if self.is_crashed_by(step) {
                self.crash();
            }
            self.wait_step_time().await?;
            self.run(step)
        })
    }

    fn generate<'a>(
        &'a self,
        order: &'a GenerateOrder,
    ) -> ClientFuture<'a, BoxStream<'static, Result<GeneratedToken, PlatformError>>> {
        Box::pin(async move {
            let session = Session::default();
            let name = order.session.clone();
            self.sessions.lock().unwrap().insert(name, session);
            let count = order.max_tokens.min(self.end_at);
            let tokens = expected_tokens(&order.prompt, count);
            let is_resumed = tokens.starts_with(&order.resume);
            assert!(
                is_resumed,
                "generation is resumed from tokens that the model did not generate"
            );
            let end_at = self.end_at;
            let step_time = self.step_time;
            let mode = self.mode.subscribe();
            let items: Vec<_> = tokens.into_iter().enumerate().collect();
            let items = items.into_iter().skip(order.resume.len());
            let stream = futures_util::stream::iter(items).then(move |(index, text)| {
                let mut mode = mode.clone();
                async move {
                    tokio::time::sleep(step_time).await;
                    let is_up = mode.wait_for(|mode| *mode != EngineMode::Frozen).await;
                    if is_up.is_ok_and(|mode| *mode == EngineMode::Running) {
                        let position = index as u32;
                        return Ok(GeneratedToken {
                            position,
                            text,
                            is_end: position + 1 == end_at,
                        });
                    }
                    Err(PlatformError::Indeterminate {
                        system: "engine",
                        detail: "crashed".to_owned(),
                    })
                }
            });
            Ok(stream.boxed())
        })
    }

    fn cancel<'a>(&'a self, session: &'a str) -> ClientFuture<'a, ()> {
        self.sessions.lock().unwrap().remove(session);
        Box::pin(async { Ok(()) })
    }

    fn state(&self) -> ClientFuture<'_, EngineState> {
        Box::pin(async {
            Ok(EngineState {
                model: "palm".to_owned(),
                version: 1,
                range: LayerRange::new(0, LAYERS),
                ready: true,
                started: 0,
            })
        })
    }

    fn send_order<'a>(&'a self, _order: &'a EngineOrder, _fence: u64) -> ClientFuture<'a, ()> {
        Box::pin(async { Ok(()) })
    }
}
