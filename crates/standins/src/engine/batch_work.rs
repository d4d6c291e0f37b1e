use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::GeneratedToken;
use dandelionroad_clients::engine::StepOutput;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::generate_session::GenerateSession;

/// What a job runs and where its output goes.
pub(super) enum BatchWork {
    /// One step of a layer range; the error says why the step was rejected.
    Step {
        /// The step.
        step: EngineStep,
        /// Where the output goes.
        reply: oneshot::Sender<Result<StepOutput, String>>,
    },
    /// An answer, of which each batch generates one token.
    Generate {
        /// The answer so far.
        session: Box<GenerateSession>,
        /// Where the tokens go.
        tokens: mpsc::UnboundedSender<GeneratedToken>,
    },
}
