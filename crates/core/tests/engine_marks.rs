//! Guards against engines that stay closed to requests after the reason for it is over, or because of another request.

mod chain_support;

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::RoomLimits;
use dandelionroad_core::relay::EngineMarks;
use dandelionroad_core::relay::EngineTable;
use dandelionroad_core::relay::LifeSign;
use dandelionroad_core::relay::SuspicionCause;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;

use crate::chain_support::NOW;
use crate::chain_support::SERVICE;
use crate::chain_support::record;
use crate::chain_support::shape;
use crate::chain_support::table;

/// The size of a request, in tokens.
const TOKENS: f64 = 500.0;

/// Returns a table of `groups` pairs of engines; the first engine of a pair holds the first half of the model.
fn engine_pairs(groups: u16) -> EngineTable {
    let half = shape().layers / 2;
    let pair = |group: u16| {
        [
            record(2 * group - 1, "a", "large", LayerRange::new(0, half)),
            record(2 * group, "a", "large", LayerRange::new(half, 2 * half)),
        ]
    };
    table((1..=groups).flat_map(pair).collect())
}

fn has_chain(table: &EngineTable, tokens: f64, is_resumed: bool, now: MilliTime) -> bool {
    let request = FinderRequest {
        tokens,
        is_resumed,
        ignores_refusals: false,
        zone: "a",
        excluded: &[],
        may_cross: true,
        limits: RoomLimits::whole(f64::MAX),
        seed: 0,
        now,
    };
    ChainFinder::new(table, SERVICE, &shape())
        .find(&request)
        .is_some()
}

/// Guards against an engine that is avoided after it has answered again, and against one that is used again
/// although it failed in another way meanwhile.
#[test]
fn record_sign_ends_suspicion() {
    let records = (1..3).map(|number| record(number, "a", "large", LayerRange::new(0, 40)));
    let mut table = table(records.collect());
    let suspect = |table: &mut EngineTable, id: &str, now| {
        table.suspect(id, SuspicionCause::NoReport, now, now)
    };
    assert!(!table.record_sign("e001", LifeSign::Answer, NOW));
    for id in ["e001", "e002"] {
        assert!(suspect(&mut table, id, NOW.plus(1)));
    }
    table.record_failure("e002", NOW.plus(500));
    let later = NOW.plus(1_000);
    for id in ["e001", "e002"] {
        assert!(table.record_sign(id, LifeSign::Answer, later));
        assert!(!table.get(id).unwrap().marks.is_suspected(later));
    }
    assert!(table.get("e001").unwrap().is_usable(later));
    assert!(!table.get("e002").unwrap().is_usable(later));
    // A failure before the suspicion counts on.
    table.record_failure("e001", later);
    table.record_failure("e001", later);
    assert!(suspect(&mut table, "e001", later.plus(1)));
    assert!(table.record_sign("e001", LifeSign::Answer, later.plus(10)));
    assert!(!table.get("e001").unwrap().is_usable(later.plus(10)));
}

/// Guards against an engine that is suspected by a probe that was sent before it answered again.
#[test]
fn suspect_after_sign() {
    let mut table = table(vec![record(1, "a", "large", LayerRange::new(0, 40))]);
    let asked = NOW.plus(100);
    table.record_sign("e001", LifeSign::Answer, NOW.plus(200));
    let later = NOW.plus(350);
    for cause in [SuspicionCause::NoReport, SuspicionCause::Reported] {
        assert!(!table.suspect("e001", cause, asked, later));
        assert!(table.get("e001").unwrap().is_usable(later));
    }
    assert!(table.suspect("e001", SuspicionCause::NoReport, NOW.plus(201), later));
}

/// Guards against an engine that isn't suspected as stalled because it returns the report that says so.
#[test]
fn suspect_by_own_report() {
    let mut table = table(vec![record(1, "a", "large", LayerRange::new(0, 40))]);
    table.record_sign("e001", LifeSign::Report, NOW.plus(10));
    assert!(!table.suspect("e001", SuspicionCause::NoReport, NOW, NOW.plus(10)));
    assert!(table.suspect("e001", SuspicionCause::Reported, NOW, NOW.plus(10)));
}

/// Guards against an engine that hangs with its requests and is used again because it returns reports.
#[test]
fn record_sign_of_report() {
    let records = (1..3).map(|number| record(number, "a", "large", LayerRange::new(0, 40)));
    let mut table = table(records.collect());
    assert!(table.suspect("e001", SuspicionCause::NoReport, NOW, NOW));
    assert!(table.suspect("e002", SuspicionCause::Reported, NOW, NOW));
    let later = NOW.plus(300);
    assert!(table.record_sign("e001", LifeSign::Report, later));
    assert!(!table.record_sign("e002", LifeSign::Report, later));
    assert!(table.get("e001").unwrap().is_usable(later));
    assert!(!table.get("e002").unwrap().is_usable(later));
}

/// Guards against an engine that stays avoided for its stalled runs although one of them goes on.
#[test]
fn record_sign_of_stalled_answer() {
    let mut table = table(vec![record(1, "a", "large", LayerRange::new(0, 40))]);
    let mut now = NOW;
    for _ in 0..2 {
        assert!(table.record_stall(&["e001"], now).is_empty());
        now = now.plus(400);
    }
    assert_eq!(table.record_stall(&["e001"], now), ["e001"]);
    assert!(!table.record_sign("e001", LifeSign::Answer, now.plus(50)));
    assert!(!table.get("e001").unwrap().is_usable(now.plus(50)));
    assert!(table.record_sign("e001", LifeSign::StalledAnswer, now.plus(100)));
    assert!(table.get("e001").unwrap().is_usable(now.plus(100)));
}

/// Guards against new requests that are refused because the engines have turned resumed streams away.
#[test]
fn record_refusal_of_resumed_stream() {
    let mut table = engine_pairs(1);
    table.record_refusal("e001", TOKENS, true, NOW);
    assert!(!has_chain(&table, TOKENS, true, NOW));
    assert!(has_chain(&table, TOKENS, false, NOW));
    assert!(has_chain(&table, TOKENS / 2.0, true, NOW));
}

/// Guards against small requests that are refused because a large one found no room.
#[test]
fn record_refusal_of_large_request() {
    let mut table = engine_pairs(1);
    table.record_refusal("e001", TOKENS, false, NOW);
    for is_resumed in [false, true] {
        assert!(!has_chain(&table, TOKENS, is_resumed, NOW));
        assert!(has_chain(&table, TOKENS - 1.0, is_resumed, NOW));
    }
    // A second refusal shows that there is less room.
    table.record_refusal("e001", TOKENS / 2.0, false, NOW);
    assert!(!has_chain(&table, TOKENS - 1.0, false, NOW));
}

/// Guards against an engine that counts as full although it has taken such a request.
#[test]
fn record_refusal_ends() {
    let mut table = engine_pairs(1);
    table.record_refusal("e001", TOKENS, false, NOW);
    table.record_success("e001", TOKENS / 2.0, false);
    assert!(!has_chain(&table, TOKENS, false, NOW));
    table.record_success("e001", TOKENS, false);
    assert!(has_chain(&table, TOKENS, false, NOW));
}

/// Guards against requests that are refused while all engines are silent and may be sound, and against those that wait
/// for engines that are dead.
#[test]
fn silence_end_of_suspected_engines() {
    let mut table = engine_pairs(2);
    let shape = shape();
    let end =
        |table: &EngineTable, now| ChainFinder::new(table, SERVICE, &shape).silence_end(&[], now);
    assert_eq!(end(&table, NOW), None, "engines are usable");
    table.suspect("e001", SuspicionCause::NoReport, NOW, NOW);
    assert_eq!(end(&table, NOW), None, "the other pair is usable");
    table.record_failure("e003", NOW);
    let silence_end = end(&table, NOW).unwrap();
    assert!(silence_end > NOW.plus(1_000));
    assert_eq!(end(&table, silence_end), None, "it was silent for too long");
    table.record_failure("e001", NOW.plus(10));
    assert_eq!(end(&table, NOW.plus(10)), None, "both have failed");
}

/// Guards against requests that wait again and again for an engine that has given no sign of life for long.
#[test]
fn silence_end_of_engine_suspected_again() {
    let mut marks = EngineMarks::default();
    assert!(marks.suspect(SuspicionCause::NoReport, NOW, NOW));
    let later = NOW.plus(2_500);
    assert!(marks.suspect(SuspicionCause::NoReport, later, later));
    assert_eq!(marks.silence_end(later), None);
}

/// Guards against an engine that is closed to small requests for as long as large ones were refused.
#[test]
fn record_refusal_of_small_after_large() {
    let mut marks = EngineMarks::default();
    for step in 0..3 {
        marks.record_refusal(5_000.0, false, NOW.plus(step * 7_000));
    }
    // A minute later, one small request is refused.
    let later = NOW.plus(60_000);
    marks.record_refusal(100.0, false, later);
    assert!(!marks.is_full_for(100.0, false, later.plus(2_500)));
}

/// Guards against an engine that is closed to resumed streams for the refusal of a new request, after it has taken a
/// larger new one.
#[test]
fn record_refusal_of_new_ends_for_resumed() {
    let mut marks = EngineMarks::default();
    marks.record_refusal(500.0, false, NOW);
    marks.record_taken(600.0, false);
    assert!(!marks.is_full_for(500.0, false, NOW.plus(1)));
    assert!(!marks.is_full_for(500.0, true, NOW.plus(1)));
}

/// Guards against an engine that was silent itself and stays avoided because another one reported it.
#[test]
fn record_sign_of_reported_engine_that_was_silent() {
    let mut marks = EngineMarks::default();
    assert!(marks.suspect(SuspicionCause::Reported, NOW, NOW));
    assert!(!marks.suspect(SuspicionCause::NoReport, NOW, NOW.plus(250)));
    assert!(marks.record_sign(LifeSign::Report, NOW.plus(900)));
    assert!(marks.avoided_until() <= NOW.plus(900));
}
