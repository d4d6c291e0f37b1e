//! Guards against requests that a stopping process admits and then cuts, and against refusing requests that can
//! be served.

use dandelionroad_core::relay::ShutdownPlan;
use dandelionroad_core::time::MilliTime;

const START: MilliTime = MilliTime::from_millis(50_000);

/// The time from the signal to the cut with a grace period of 8 s.
const LIMIT_MS: u64 = 7_700;

fn admits(is_stream: bool, arrival_ms: u64, timeout_ms: u64) -> bool {
    let now = START.plus(arrival_ms);
    ShutdownPlan::new(START, LIMIT_MS).admits(is_stream, now, now.plus(timeout_ms))
}

/// From 3 s after the signal on, a request that is admitted must be able to use its whole time.
#[test]
fn shutdown_plan_late_requests_fit() {
    for is_stream in [false, true] {
        for arrival_ms in (3_001..9_000).step_by(37) {
            for timeout_ms in [50, 500, 2_000, 4_000, 20_000] {
                let fits = arrival_ms + timeout_ms < LIMIT_MS;
                let is_admitted = admits(is_stream, arrival_ms, timeout_ms);
                assert!(fits || !is_admitted, "{arrival_ms} + {timeout_ms}");
            }
        }
    }
}

#[test]
fn shutdown_plan_cases() {
    let cases = [
        // While the load balancer still sends connections, what is likely to end is admitted.
        (true, 2_600, 20_000, true),
        (true, 2_800, 20_000, false),
        (false, 2_900, 20_000, true),
        (false, 3_100, 20_000, false),
        // Later, what ends in any case.
        (false, 3_500, 4_000, true),
        (false, 5_200, 4_000, false),
        (false, 5_500, 2_000, true),
        (false, 5_800, 2_000, false),
        (true, 4_000, 3_000, true),
    ];
    for (is_stream, arrival_ms, timeout_ms, is_admitted) in cases {
        assert_eq!(
            admits(is_stream, arrival_ms, timeout_ms),
            is_admitted,
            "stream: {is_stream}, {arrival_ms} ms after the signal, time-out {timeout_ms} ms"
        );
    }
}
