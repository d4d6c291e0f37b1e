use super::LoadKind;

/// A bounded load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The base URLs of the entries; requests take turns.
    pub entries: Vec<String>,
    /// The secret of the client account.
    pub secret: String,
    /// The kinds of requests; requests take turns.
    pub kinds: Vec<LoadKind>,
    /// The number of requests.
    pub requests: usize,
    /// The number of requests that run at once.
    pub concurrency: usize,
    /// The model.
    pub model: String,
    /// The number of layers of the model, for the check of the answers; 0 checks none.
    pub layers: u16,
    /// The version of the model, for the check of the answers.
    pub version: u32,
    /// The plain service.
    pub service: String,
    /// The number of words of a prompt.
    pub prompt_words: usize,
    /// The number of tokens of an answer.
    pub tokens: u32,
    /// A word that makes the prompts and keys of this load distinct from those of another.
    pub label: String,
}
