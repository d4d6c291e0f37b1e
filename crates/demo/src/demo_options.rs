use dandelionroad_standins::engine::EngineMode;

use super::DemoLayout;

/// The options of a demonstration.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// The nodes to start.
    pub layout: DemoLayout,
    /// Whether listeners use the fixed ports that the README names, rather than free ports.
    pub has_fixed_ports: bool,
    /// The interface of the engines.
    pub mode: EngineMode,
    /// The time of a batch without prompt tokens, in microseconds.
    pub step_us: u64,
    /// The additional time for each prompt token, in microseconds.
    pub prompt_token_us: u64,
    /// The minimum time for which a leaving entry reports itself as not ready before it exits, in
    /// milliseconds.
    pub drain_notice_ms: u64,
}

impl DemoOptions {
    /// Returns the options of a three-stage pipeline on free ports, with engines that answer
    /// without delay.
    pub fn three_stages() -> DemoOptions {
        DemoOptions {
            layout: DemoLayout::three_stages(),
            has_fixed_ports: false,
            mode: EngineMode::LayerRange,
            step_us: 0,
            prompt_token_us: 0,
            drain_notice_ms: 3_000,
        }
    }
}
