//! Guards against requests that crash engine after engine, and against refusing those that were next to
//! them, or whose answers only got lost.

use dandelionroad_core::relay::CrashDetector;
use dandelionroad_core::relay::EngineCrash;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const START: MilliTime = MilliTime::from_millis(100_000);

fn crash(fingerprint: &str, engine: &str) -> EngineCrash {
    EngineCrash {
        fingerprint: fingerprint.to_owned(),
        engine: engine.to_owned(),
    }
}

fn break_off(
    detector: &mut CrashDetector,
    fingerprint: &str,
    engine: &str,
    now: MilliTime,
) -> Option<EngineCrash> {
    detector.record_broken_run(fingerprint, &[engine.to_owned()], now)
}

#[test]
fn crash_watch_lost_answers_count_nothing() {
    let mut detector = CrashDetector::new();
    for engine in 0..20 {
        break_off(&mut detector, "aa", &format!("e{engine}"), START);
    }
    assert!(detector.is_empty());
    assert!(!detector.should_refuse("aa", START));
}

/// The entry of a silent engine lapses seconds after its answers broke off; a loss long after is another
/// matter.
#[test]
fn crash_watch_loss_seconds_later_counts() {
    for (later_ms, counted) in [(5_000, 1), (7_000, 0)] {
        let mut detector = CrashDetector::new();
        break_off(&mut detector, "aa", "e1", START);
        let crashed = detector.record_engine_loss("e1", START.plus(later_ms));
        assert_eq!(crashed.len(), counted, "{later_ms}");
    }
}

/// A connection may be reset after the loss of the engine was heard of.
#[test]
fn crash_watch_loss_known_before_counts() {
    let mut detector = CrashDetector::new();
    detector.record_engine_loss("e1", START);
    let crashed = break_off(&mut detector, "aa", "e1", START.plus(300));
    assert_eq!(crashed, Some(crash("aa", "e1")));
}

/// Calls without a body are often equal: one crash that breaks off two of them is one crash.
#[test]
fn crash_watch_equal_requests_count_once() {
    let mut detector = CrashDetector::new();
    for _ in 0..3 {
        break_off(&mut detector, "aa", "e1", START);
    }
    assert_eq!(
        detector.record_engine_loss("e1", START),
        [crash("aa", "e1")]
    );
    break_off(&mut detector, "aa", "e1", START);
    assert_eq!(detector.len(), 1);
    assert!(!detector.should_refuse("aa", START));
}

#[test]
fn crash_watch_neighbor_of_suspect_is_clear() {
    let mut detector = CrashDetector::new();
    break_off(&mut detector, "bad", "e1", START);
    detector.record_engine_loss("e1", START);
    break_off(&mut detector, "bad", "e2", START);
    break_off(&mut detector, "good", "e2", START);
    let crashed = detector.record_engine_loss("e2", START);
    assert_eq!(crashed, [crash("bad", "e2")]);
    assert!(detector.should_refuse("bad", START));
    assert!(!detector.should_refuse("good", START));
}

/// Without counting by engine, a crash that several processes tell of would count for each.
#[test]
fn crash_watch_told_twice_counts_once() {
    let mut detector = CrashDetector::new();
    assert!(detector.merge(&crash("aa", "e1"), START));
    assert!(!detector.merge(&crash("aa", "e1"), START));
    assert!(!detector.should_refuse("aa", START));
    assert!(detector.merge(&crash("aa", "e2"), START));
    assert!(detector.should_refuse("aa", START));
    assert_eq!(
        detector.recent_crashes(START),
        [&crash("aa", "e2"), &crash("aa", "e1")]
    );
}

#[test]
fn crash_watch_served_request_is_clear() {
    let mut detector = CrashDetector::new();
    detector.merge(&crash("aa", "e1"), START);
    assert!(detector.clear_request("aa"));
    assert!(!detector.clear_request("aa"), "nothing is left to tell");
    detector.merge(&crash("aa", "e3"), START);
    assert!(!detector.should_refuse("aa", START));
}

/// A request that stopped coming is forgotten after a minute; one that keeps coming is not.
#[test]
fn crash_watch_forgets_what_stays_away() {
    let mut detector = CrashDetector::new();
    for engine in ["e1", "e2"] {
        detector.merge(&crash("aa", engine), START);
    }
    let kept = START.plus(50_000);
    assert!(detector.should_refuse("aa", kept));
    detector.expire(kept.plus(50_000));
    assert!(detector.should_refuse("aa", kept.plus(50_000)));
    let gone = kept.plus(50_000 + 60_001);
    detector.expire(gone);
    assert!(!detector.should_refuse("aa", gone));
    assert!(detector.is_empty());
}

/// Several processes run one crasher among other requests on engines that break off answers at random,
/// and tell each other of crashes. The crasher takes down two engines and those that it ran on before the
/// news came; requests that ran on fewer than two lost engines are never refused.
#[test]
fn crash_watch_random_schedules() {
    const PROCESSES: usize = 3;
    for seed in 0..10_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut detectors = vec![CrashDetector::new(); PROCESSES];
        let mut now = START;
        let mut crashes = 0;
        let mut bad_runs = Vec::new();
        for turn in 0..30 {
            now = now.plus(random.random_range(50..400));
            let engine = format!("e{turn}");
            let own = random.random_range(0..PROCESSES);
            let innocents: Vec<String> = (0..3).map(|i| format!("good-{turn}-{i}")).collect();
            let is_bad = random.random_bool(0.5);
            if is_bad && !detectors[own].should_refuse("bad", now) {
                break_off(&mut detectors[own], "bad", &engine, now);
                bad_runs.push(turn);
                crashes += 1;
                for innocent in &innocents {
                    break_off(&mut detectors[own], innocent, &engine, now);
                }
                // The loss of the engine is heard of by all, in any order.
                for detector in &mut detectors {
                    detector.record_engine_loss(&engine, now);
                }
            } else {
                for innocent in &innocents {
                    break_off(&mut detectors[own], innocent, &engine, now);
                }
            }
            let told: Vec<EngineCrash> = detectors[own]
                .recent_crashes(now)
                .into_iter()
                .cloned()
                .collect();
            for detector in &mut detectors {
                for crash in &told {
                    detector.merge(crash, now);
                }
                for innocent in &innocents {
                    assert!(
                        !detector.should_refuse(innocent, now),
                        "seed {seed}: {innocent}"
                    );
                }
            }
        }
        assert!(
            crashes <= 2,
            "seed {seed}: {crashes} engines crashed: {bad_runs:?}"
        );
    }
}
