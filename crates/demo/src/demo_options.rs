use dandelionroad_standins::engine::EngineMode;

use super::DemoLayout;

/// The nodes and ports of a demonstration, and the timing of its engines.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// The nodes to start.
    pub layout: DemoLayout,
    /// Whether listeners use the fixed ports that the README names, rather than free ports.
    pub has_fixed_ports: bool,
    /// Whether the engines run single steps of their layers or generate whole answers.
    pub mode: EngineMode,
    /// The time that an engine takes for a batch of steps without prompt tokens, in microseconds.
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
