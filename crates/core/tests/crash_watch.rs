//! Guards against requests that crash engine after engine, and against refusing those that were next to
//! them, or whose answers only got lost.

use dandelionroad_core::relay::CrashWatch;
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
    watch: &mut CrashWatch,
    fingerprint: &str,
    engine: &str,
    now: MilliTime,
) -> Option<EngineCrash> {
    watch.break_off(fingerprint, &[engine.to_owned()], now)
}

#[test]
fn crash_watch_lost_answers_count_nothing() {
    let mut watch = CrashWatch::new();
    for engine in 0..20 {
        break_off(&mut watch, "aa", &format!("e{engine}"), START);
    }
    assert!(watch.is_empty());
    assert!(!watch.refuses("aa", START));
}

/// The entry of a silent engine lapses seconds after its answers broke off; a loss long after is another
/// matter.
#[test]
fn crash_watch_loss_seconds_later_counts() {
    for (later_ms, counted) in [(5_000, 1), (7_000, 0)] {
        let mut watch = CrashWatch::new();
        break_off(&mut watch, "aa", "e1", START);
        let crashed = watch.lose_engine("e1", START.plus(later_ms));
        assert_eq!(crashed.len(), counted, "{later_ms}");
    }
}

/// A connection may be reset after the loss of the engine was heard of.
#[test]
fn crash_watch_loss_known_before_counts() {
    let mut watch = CrashWatch::new();
    watch.lose_engine("e1", START);
    let crashed = break_off(&mut watch, "aa", "e1", START.plus(300));
    assert_eq!(crashed, Some(crash("aa", "e1")));
}

/// Calls without a body are often equal: one crash that breaks off two of them is one crash.
#[test]
fn crash_watch_equal_requests_count_once() {
    let mut watch = CrashWatch::new();
    for _ in 0..3 {
        break_off(&mut watch, "aa", "e1", START);
    }
    assert_eq!(watch.lose_engine("e1", START), [crash("aa", "e1")]);
    break_off(&mut watch, "aa", "e1", START);
    assert_eq!(watch.len(), 1);
    assert!(!watch.refuses("aa", START));
}

#[test]
fn crash_watch_neighbor_of_suspect_is_clear() {
    let mut watch = CrashWatch::new();
    break_off(&mut watch, "bad", "e1", START);
    watch.lose_engine("e1", START);
    break_off(&mut watch, "bad", "e2", START);
    break_off(&mut watch, "good", "e2", START);
    let crashed = watch.lose_engine("e2", START);
    assert_eq!(crashed, [crash("bad", "e2")]);
    assert!(watch.refuses("bad", START));
    assert!(!watch.refuses("good", START));
}

/// Without counting by engine, a crash that several processes tell of would count for each.
#[test]
fn crash_watch_told_twice_counts_once() {
    let mut watch = CrashWatch::new();
    assert!(watch.merge(&crash("aa", "e1"), START));
    assert!(!watch.merge(&crash("aa", "e1"), START));
    assert!(!watch.refuses("aa", START));
    assert!(watch.merge(&crash("aa", "e2"), START));
    assert!(watch.refuses("aa", START));
    assert_eq!(watch.told(START), [&crash("aa", "e2"), &crash("aa", "e1")]);
}

#[test]
fn crash_watch_served_request_is_clear() {
    let mut watch = CrashWatch::new();
    watch.merge(&crash("aa", "e1"), START);
    assert!(watch.complete("aa"));
    assert!(!watch.complete("aa"), "nothing is left to tell");
    watch.merge(&crash("aa", "e3"), START);
    assert!(!watch.refuses("aa", START));
}

/// A request that stopped coming is forgotten after a minute; one that keeps coming is not.
#[test]
fn crash_watch_forgets_what_stays_away() {
    let mut watch = CrashWatch::new();
    for engine in ["e1", "e2"] {
        watch.merge(&crash("aa", engine), START);
    }
    let kept = START.plus(50_000);
    assert!(watch.refuses("aa", kept));
    watch.expire(kept.plus(50_000));
    assert!(watch.refuses("aa", kept.plus(50_000)));
    let gone = kept.plus(50_000 + 60_001);
    watch.expire(gone);
    assert!(!watch.refuses("aa", gone));
    assert!(watch.is_empty());
}

/// Several processes run one crasher among other requests on engines that break off answers at random,
/// and tell each other of crashes. The crasher takes down two engines and those that it ran on before the
/// news came; requests that ran on fewer than two lost engines are never refused.
#[test]
fn crash_watch_random_schedules() {
    const PROCESSES: usize = 3;
    for seed in 0..10_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut watches = vec![CrashWatch::new(); PROCESSES];
        let mut now = START;
        let mut crashes = 0;
        let mut bad_runs = Vec::new();
        for turn in 0..30 {
            now = now.plus(random.random_range(50..400));
            let engine = format!("e{turn}");
            let own = random.random_range(0..PROCESSES);
            let innocents: Vec<String> = (0..3).map(|i| format!("good-{turn}-{i}")).collect();
            let is_bad = random.random_bool(0.5);
            if is_bad && !watches[own].refuses("bad", now) {
                break_off(&mut watches[own], "bad", &engine, now);
                bad_runs.push(turn);
                crashes += 1;
                for innocent in &innocents {
                    break_off(&mut watches[own], innocent, &engine, now);
                }
                // The loss of the engine is heard of by all, in any order.
                for watch in &mut watches {
                    watch.lose_engine(&engine, now);
                }
            } else {
                for innocent in &innocents {
                    break_off(&mut watches[own], innocent, &engine, now);
                }
            }
            let told: Vec<EngineCrash> = watches[own].told(now).into_iter().cloned().collect();
            for watch in &mut watches {
                for crash in &told {
                    watch.merge(crash, now);
                }
                for innocent in &innocents {
                    assert!(!watch.refuses(innocent, now), "seed {seed}: {innocent}");
                }
            }
        }
        assert!(
            crashes <= 2,
            "seed {seed}: {crashes} engines crashed: {bad_runs:?}"
        );
    }
}
