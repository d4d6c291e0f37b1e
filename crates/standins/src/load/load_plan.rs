use super::LoadKind;

/// The parameters of a load test.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The base URLs of the entries, which requests use in turn.
    pub entries: Vec<String>,
    /// The secret of the client account.
    pub secret: String,
    /// The kinds of requests, sent in turn.
    pub kinds: Vec<LoadKind>,
    /// The number of requests to send in total.
    pub requests: usize,
    /// The maximum number of requests that run at the same time.
    pub concurrency: usize,
    /// The name of the model that requests ask for.
    pub model: String,
    /// The number of layers of the stand-ins' model, to check the answers; 0 disables the check.
    pub layers: u16,
    /// The version of the model, to check the answers.
    pub version: u32,
    /// The name of the plain service.
    pub service: String,
    /// The number of words of a prompt.
    pub prompt_words: usize,
    /// The number of tokens of an answer.
    pub tokens: u32,
    /// The prefix of prompts and idempotency keys, which keeps those of different load tests apart.
    pub label: String,
}
