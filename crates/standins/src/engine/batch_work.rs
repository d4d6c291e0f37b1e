use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::GeneratedToken;
use dandelionroad_clients::engine::StepOutput;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::generate_session::GenerateSession;

/// The computation of a job and the channel for its output.
pub(super) enum BatchWork {
    /// One step of a layer range.
    Step {
        /// The step.
        step: EngineStep,
        /// The channel for the output, or for the reason why the step was rejected.
        reply: oneshot::Sender<Result<StepOutput, String>>,
    },
    /// An answer, of which a batch generates one token.
    Generate {
        /// The state of the generation.
        session: Box<GenerateSession>,
        /// The channel for the tokens.
        tokens: mpsc::UnboundedSender<GeneratedToken>,
    },
}
