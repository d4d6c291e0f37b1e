use argh::FromArgs;

/// measure the latency that the router adds, compared with direct calls to the same engines, for one
/// stage and for three stages
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "latency")]
pub struct LatencyCommand {
    /// number of requests of each kind; direct and routed ones alternate; default: 40
    #[argh(option, default = "40")]
    pub requests: usize,
    /// number of tokens of an answer; default: 32
    #[argh(option, default = "32")]
    pub tokens: u32,
    /// number of words of a prompt; default: 64
    #[argh(option, default = "64")]
    pub prompt_words: usize,
    /// time of one step of the whole model in microseconds, of which each stage takes an equal part;
    /// default: 24000
    #[argh(option, default = "24000")]
    pub step_us: u64,
    /// time for each prompt token in microseconds, of which each stage takes an equal part; default:
    /// 600
    #[argh(option, default = "600")]
    pub prompt_token_us: u64,
}
