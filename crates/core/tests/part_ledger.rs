//! Guards against requests that share only a prompt part and crash one engine after another, and against
//! refusing the sound parts that stand beside it.

use dandelionroad_core::relay::CrashDetector;
use dandelionroad_core::relay::PartChange;
use dandelionroad_core::relay::PartLedger;
use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::relay::RunPhase;
use dandelionroad_core::time::MilliTime;

const START: MilliTime = MilliTime::from_millis(100_000);

fn part(id: &str) -> PromptPart {
    PromptPart::new("knots", id)
}

/// Crashes engines one after the other, from `START` on.
fn crash_all(ledger: &mut PartLedger, parts: &[PromptPart], engines: &[&str]) {
    for (index, engine) in engines.iter().enumerate() {
        ledger.record_crash(parts, engine, START.plus(index as u64 * 100));
    }
}

/// Guards against refusing a part for the loss of one engine, and against a third lost engine.
#[test]
fn part_ledger_refuses_unproven_after_two_engines() {
    let mut ledger = PartLedger::new();
    let parts = [part("f1"), part("bad")];
    ledger.record_served(&parts[..1], START);
    crash_all(&mut ledger, &parts, &["e1"]);
    assert_eq!(ledger.verdict(&parts), PartVerdict::Suspected);
    crash_all(&mut ledger, &parts, &["e1"]);
    assert_eq!(ledger.verdict(&parts), PartVerdict::Suspected, "one engine");
    crash_all(&mut ledger, &parts, &["e1", "e2"]);
    assert_eq!(ledger.verdict(&parts), PartVerdict::Refused);
    assert_eq!(ledger.verdict(&parts[..1]), PartVerdict::Clear);
    let refused = PartChange::Refused {
        part: parts[1],
        engines: 2,
    };
    assert!(ledger.take_changes().contains(&refused));
}

/// Guards against refusing a sound part when a rack or a zone fails: many engines are lost at the same time, and
/// several of them with runs of the same part.
#[test]
fn part_ledger_counts_simultaneous_losses_once() {
    let mut ledger = PartLedger::new();
    for (engine, delay_ms) in [("e1", 0), ("e2", 3), ("e3", 12), ("e4", 20)] {
        ledger.record_crash(&[part("f1")], engine, START.plus(delay_ms));
    }
    assert_eq!(ledger.verdict(&[part("f1")]), PartVerdict::Suspected);
}

/// Guards against refusing a system prompt that many sound requests share: it stands in the prompts of the
/// requests that crash engines, and in those of sound requests beside them.
#[test]
fn part_ledger_spares_proven_beside_fatal() {
    let mut ledger = PartLedger::new();
    ledger.record_served(&[part("f1")], START);
    for (index, engine) in ["e1", "e2", "e3", "e4", "e5", "e6"].iter().enumerate() {
        let at = START.plus(100 * (1 + index as u64));
        ledger.record_crash(&[part("f1")], engine, at);
        ledger.record_crash(&[part("f1"), part("bad")], engine, at);
    }
    assert_eq!(ledger.verdict(&[part("bad")]), PartVerdict::Refused);
    assert_eq!(ledger.verdict(&[part("f1")]), PartVerdict::Clear);
}

/// Guards against a part that was served before and crashes engines from some time on, in prompts with
/// other parts that no request was served with.
#[test]
fn part_ledger_refuses_proven_after_five_engines() {
    let mut ledger = PartLedger::new();
    ledger.record_served(&[part("bad")], START);
    let engines = ["e1", "e2", "e3", "e4", "e5", "e6", "e7"];
    for (index, engine) in engines.iter().enumerate() {
        let other = part(&format!("x{}", index / 2));
        let at = START.plus(100 * (1 + index as u64));
        ledger.record_crash(&[part("bad"), other], engine, at);
    }
    assert_eq!(ledger.verdict(&[part("bad")]), PartVerdict::Refused);
    for index in 0..4 {
        let other = part(&format!("x{index}"));
        assert_eq!(ledger.verdict(&[other]), PartVerdict::Clear, "x{index}");
    }
}

/// Guards against refusing a first part whose requests were never served because all carried the fatal part
/// behind it.
#[test]
fn part_ledger_prefers_later_of_joint_parts() {
    let mut ledger = PartLedger::new();
    crash_all(&mut ledger, &[part("f1"), part("bad")], &["e1", "e2"]);
    assert_eq!(ledger.verdict(&[part("f1")]), PartVerdict::Clear);
    assert_eq!(ledger.verdict(&[part("bad")]), PartVerdict::Refused);
}

/// Guards against keeping a later part refused that merely stood behind the fatal one.
#[test]
fn part_ledger_corrects_wrong_part() {
    let mut ledger = PartLedger::new();
    crash_all(&mut ledger, &[part("bad"), part("x1")], &["e1", "e2"]);
    assert_eq!(ledger.verdict(&[part("x1")]), PartVerdict::Refused);
    let parts = [part("bad"), part("x2")];
    ledger.record_crash(&parts, "e3", START.plus(300));
    assert_eq!(ledger.verdict(&[part("bad")]), PartVerdict::Refused);
    assert_eq!(ledger.verdict(&[part("x1")]), PartVerdict::Clear);
    assert_eq!(ledger.verdict(&[part("x2")]), PartVerdict::Clear);
}

/// Guards against two fatal parts of which one covers the other's crashes.
#[test]
fn part_ledger_refuses_two_fatal_parts() {
    let mut ledger = PartLedger::new();
    crash_all(&mut ledger, &[part("bad1")], &["e1", "e2", "e3"]);
    crash_all(&mut ledger, &[part("bad2")], &["e4", "e5"]);
    for id in ["bad1", "bad2"] {
        assert_eq!(ledger.verdict(&[part(id)]), PartVerdict::Refused, "{id}");
    }
    assert_eq!(ledger.refused_count(), 2);
}

/// Guards against counting the loss of an engine for a part that was served after its run broke off, as
/// the loss is noticed seconds later.
#[test]
fn part_ledger_ignores_crash_before_serving() {
    let mut ledger = PartLedger::new();
    ledger.record_served(&[part("f1")], START.plus(500));
    crash_all(&mut ledger, &[part("f1")], &["e1", "e2", "e3", "e4", "e5"]);
    assert_eq!(ledger.verdict(&[part("f1")]), PartVerdict::Clear);
    assert!(!ledger.has_unsent());
}

/// Guards against refusing a sound request for good because it was retried on engines that a fatal part
/// crashed.
#[test]
fn crash_detector_excuses_request_beside_fatal_part() {
    let mut detector = CrashDetector::new();
    for (engine, delay_ms) in [("e1", 0), ("e2", 100)] {
        let now = START.plus(delay_ms);
        let engines = [engine.to_owned()];
        detector.record_broken_run("sound", &[part("f1")], &engines, RunPhase::Starting, now);
        let fatal = [part("f1"), part("bad")];
        detector.record_broken_run(engine, &fatal, &engines, RunPhase::Starting, now);
        detector.record_engine_loss(engine, now);
    }
    assert_eq!(
        detector.parts().verdict(&[part("bad")]),
        PartVerdict::Refused
    );
    assert!(!detector.should_refuse("sound", START));
}

/// Guards against suspecting a part whose requests other processes were served with: a process that sees few
/// of them reports a crash, and the others answer.
#[test]
fn part_ledger_merge_tells_serving() {
    let mut reporter = PartLedger::new();
    let mut other = PartLedger::new();
    other.record_served(&[part("f1")], START);
    let now = START.plus(20_000);
    reporter.record_crash(&[part("f1")], "e1", now);
    let reports = reporter.take_reports(false, now);
    assert_eq!(reports.len(), 1);
    let answer = other.merge(&reports[0], now).expect("it knows more");
    assert!(
        reporter.merge(&answer, now).is_none(),
        "no answer to an answer"
    );
    assert_eq!(reporter.verdict(&[part("f1")]), PartVerdict::Clear);
    // A serving after the crash clears the part at both.
    other.record_served(&[part("f1")], now.plus(50));
    let cleared = other.take_reports(false, now.plus(50));
    reporter.merge(&cleared[0], now.plus(50));
    reporter.record_crash(&[part("f1")], "e2", now.plus(10));
    assert!(
        reporter
            .take_changes()
            .contains(&PartChange::Cleared { part: part("f1") })
    );
}

/// Guards against keeping a sound part refused in place of the fatal one, after another process has told that it
/// served the sound one before.
#[test]
fn part_ledger_merge_corrects_wrong_part() {
    let mut ledger = PartLedger::new();
    let mut other = PartLedger::new();
    other.record_served(&[part("f1")], START);
    let now = START.plus(30_000);
    for (engine, delay_ms) in [("e1", 0), ("e2", 100)] {
        let at = now.plus(delay_ms);
        ledger.record_crash(&[part("bad"), part("f1")], engine, at);
    }
    assert_eq!(ledger.verdict(&[part("f1")]), PartVerdict::Refused);
    let now = now.plus(101);
    for report in ledger.take_reports(false, now) {
        if let Some(answer) = other.merge(&report, now) {
            ledger.merge(&answer, now);
        }
    }
    for ledger in [&ledger, &other] {
        assert_eq!(ledger.verdict(&[part("bad")]), PartVerdict::Refused);
        assert_eq!(ledger.verdict(&[part("f1")]), PartVerdict::Clear);
    }
}

/// Guards against reports that cross and revive a crash that was cleared.
#[test]
fn part_ledger_merge_keeps_cleared() {
    let mut ledger = PartLedger::new();
    let mut stale = PartLedger::new();
    stale.record_crash(&[part("f1")], "e1", START);
    stale.record_crash(&[part("f1")], "e2", START);
    let reports = stale.take_reports(false, START.plus(10));
    ledger.record_served(&[part("f1")], START.plus(5));
    assert!(ledger.merge(&reports[0], START.plus(10)).is_some());
    assert_eq!(ledger.verdict(&[part("f1")]), PartVerdict::Clear);
}

/// Guards against messages that grow with the square of the processes: a lost engine has runs of many parts, and a
/// process sends on only what it refuses, as the others notice their own losses.
#[test]
fn part_ledger_sends_on_refused_parts_only() {
    let mut reporter = PartLedger::new();
    reporter.record_served(&[part("f1")], START);
    let now = START.plus(1_000);
    reporter.record_crash(&[part("f1"), part("new")], "e1", now);
    let first = reporter.take_reports(false, now);
    assert_eq!(first.len(), 2);
    let second = reporter.take_reports(false, now);
    assert_eq!(second.len(), 1, "a part that was served is sent once");
    let mut other = PartLedger::new();
    for report in &first {
        other.merge(report, now);
    }
    assert!(!other.has_unsent());
    assert!(other.take_reports(true, now).is_empty());
    let later = now.plus(100);
    other.record_crash(&[part("f1"), part("new")], "e2", later);
    assert_eq!(other.verdict(&[part("new")]), PartVerdict::Refused);
    assert!(other.has_unsent());
    assert_eq!(other.take_reports(true, later).len(), 2);
}

/// Guards against losses that are never reported because a lost engine had runs of more parts than are sent at
/// once.
#[test]
fn part_ledger_sends_all_parts_of_an_engine() {
    const PARTS: usize = 100;
    let mut ledger = PartLedger::new();
    for index in 0..PARTS {
        let parts = [part(&format!("p{index}"))];
        ledger.record_served(&parts, START);
        ledger.record_crash(&parts, "e1", START.plus(1));
    }
    let mut sent = Vec::new();
    while ledger.has_unsent() {
        let reports = ledger.take_reports(false, START.plus(2));
        assert!(reports.len() <= 32, "{} at once", reports.len());
        sent.extend(reports.into_iter().map(|report| report.part));
    }
    sent.sort_unstable();
    sent.dedup();
    assert_eq!(sent.len(), PARTS);
}

/// Guards against a process that starts in the middle and admits requests that the others refuse.
#[test]
fn part_ledger_repeats_refused_parts() {
    let mut ledger = PartLedger::new();
    crash_all(&mut ledger, &[part("bad")], &["e1", "e2"]);
    for _ in 0..5 {
        ledger.take_reports(false, START);
    }
    assert!(ledger.take_reports(false, START).is_empty());
    let later = START.plus(30_000);
    let reports = ledger.take_reports(true, later);
    let mut started = PartLedger::new();
    for report in &reports {
        started.merge(report, later);
    }
    assert_eq!(started.verdict(&[part("bad")]), PartVerdict::Refused);
}

/// Guards against refusing a sound part for ever, and against probes of all processes at a time.
#[test]
fn part_ledger_probes_in_turn() {
    let mut ledger = PartLedger::new();
    let parts = [part("f1")];
    crash_all(&mut ledger, &parts, &["e1", "e2"]);
    let last_crash = START.plus(100);
    let early = last_crash.plus(59_000);
    assert_eq!(ledger.admit(&parts, 0, early), PartVerdict::Refused);
    let now = last_crash.plus(60_000);
    assert_eq!(ledger.admit(&parts, 1, now), PartVerdict::Refused);
    assert_eq!(ledger.admit(&parts, 0, now), PartVerdict::Probe);
    let unanswered = now.plus(59_000);
    assert_eq!(ledger.admit(&parts, 0, unanswered), PartVerdict::Refused);
    assert_eq!(ledger.verdict(&parts), PartVerdict::Refused, "no retry");
    ledger.record_served(&parts, now.plus(100));
    let served = now.plus(100);
    assert_eq!(ledger.admit(&parts, 0, served), PartVerdict::Clear);
    // A probe that crashes an engine makes the next one wait longer.
    let parts = [part("bad")];
    crash_all(&mut ledger, &parts, &["e1", "e2"]);
    ledger.record_crash(&parts, "e3", now);
    let second = now.plus(119_000);
    assert_eq!(ledger.admit(&parts, 0, second), PartVerdict::Refused);
    let third = now.plus(120_000);
    assert_eq!(ledger.admit(&parts, 0, third), PartVerdict::Probe);
}

/// Guards against memory that grows with the number of parts.
#[test]
fn part_ledger_bounds_memory() {
    let mut ledger = PartLedger::new();
    for index in 0..50_000_u64 {
        let now = START.plus(index);
        ledger.record_served(&[part(&format!("s{index}"))], now);
        ledger.record_crash(&[part(&format!("c{index}"))], "e1", now);
    }
    let now = START.plus(50_000);
    assert!(ledger.take_reports(true, now).len() <= 32);
    assert!(
        !ledger.has_unproven(&[part("s49999")]),
        "the latest are kept"
    );
    assert!(ledger.has_unproven(&[part("s0")]), "the oldest are dropped");
}
