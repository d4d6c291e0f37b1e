//! Guards against a process that holds more than its limit, and against giving up the buffers of sources that take
//! little while another one takes more.

mod seeded;

use std::cell::Cell;

use bolero::TypeGenerator;
use dandelionroad_core::relay::ByteLedger;
use dandelionroad_core::relay::ByteSource;

use self::seeded::for_each_seed;

const LIMIT: usize = 10_000;

const ITERATIONS: u64 = 5_000;

/// One change of the held bytes.
#[derive(Clone, Debug, TypeGenerator)]
enum HeldChange {
    Open { source: u8 },
    Resize { holder: u8, bytes: u16 },
    Close { holder: u8 },
}

fn account(number: u8) -> ByteSource {
    ByteSource::Account(format!("a{}", number % 5))
}

fn server(port: u16) -> ByteSource {
    ByteSource::Server(([127, 0, 0, 1], port).into())
}

fn opened(ledger: &mut ByteLedger, source: ByteSource, bytes: usize) -> u64 {
    let number = ledger.open(source);
    assert!(ledger.resize(number, bytes));
    number
}

fn ended(ledger: &mut ByteLedger) -> Vec<u64> {
    ledger
        .end_excess()
        .into_iter()
        .map(|(number, _)| number)
        .collect()
}

/// The holders that a test knows to be open: number, source and bytes.
type OpenHolders = Vec<(u64, ByteSource, usize)>;

fn sum_of(holders: &OpenHolders, source: &ByteSource) -> usize {
    let own = holders.iter().filter(|(_, known, _)| known == source);
    own.map(|(_, _, bytes)| bytes).sum()
}

/// Guards against excess that stays, and against ended holders of a source that is not the largest one.
#[test]
fn end_excess_random_changes() {
    let excesses = Cell::new(0);
    for_each_seed(ITERATIONS, |changes: &Vec<HeldChange>| {
        let mut ledger = ByteLedger::new(LIMIT);
        let mut open = OpenHolders::new();
        for change in changes {
            match *change {
                HeldChange::Open { source } => {
                    open.push((ledger.open(account(source)), account(source), 0));
                }
                HeldChange::Resize { holder, bytes } if !open.is_empty() => {
                    let index = usize::from(holder) % open.len();
                    open[index].2 = usize::from(bytes) % 4_000;
                    assert!(ledger.resize(open[index].0, open[index].2));
                }
                HeldChange::Close { holder } if !open.is_empty() => {
                    let (number, _, _) = open.remove(usize::from(holder) % open.len());
                    ledger.close(number);
                }
                HeldChange::Resize { .. } | HeldChange::Close { .. } => {}
            }
            let held: usize = open.iter().map(|(_, _, bytes)| bytes).sum();
            assert_eq!(ledger.held_bytes(), held);
            let is_over = held > LIMIT;
            excesses.set(excesses.get() + u32::from(is_over));
            let chosen = ledger.end_excess();
            assert_eq!(!chosen.is_empty(), is_over);
            for (number, source) in chosen {
                let own = sum_of(&open, &source);
                assert!(open.iter().all(|(_, other, _)| sum_of(&open, other) <= own));
                open.retain(|(known, _, _)| *known != number);
                assert!(!ledger.resize(number, 1));
            }
            assert!(ledger.held_bytes() <= LIMIT);
        }
    });
    assert!(
        excesses.get() >= 100,
        "{} changes exceeded the limit",
        excesses.get()
    );
}

/// Guards against one large buffer of a small source that is given up in place of many of a large one.
#[test]
fn end_excess_many_small_holders() {
    let mut ledger = ByteLedger::new(LIMIT);
    let single = opened(&mut ledger, account(1), 4_000);
    let flood: Vec<u64> = (0..61)
        .map(|_| opened(&mut ledger, server(8_001), 100))
        .collect();
    let ended = ended(&mut ledger);
    assert_eq!(ended.len(), 1);
    assert!(flood.contains(&ended[0]));
    assert!(ledger.resize(single, 4_000));
}

/// Guards against the end of a request that already runs, when its body makes its account the largest source.
#[test]
fn end_excess_protected_holder() {
    let mut ledger = ByteLedger::new(LIMIT);
    let running = opened(&mut ledger, account(1), 8_000);
    assert!(ledger.protect(running));
    let arriving = opened(&mut ledger, account(1), 1_500);
    opened(&mut ledger, server(8_001), 1_000);
    assert_eq!(ended(&mut ledger), [arriving]);
    assert!(ledger.resize(running, 8_000));
    ledger.set_limit(1_000);
    ended(&mut ledger);
    assert_eq!(ledger.held_bytes(), 8_000, "only the protected one is left");
}

/// Guards against an answer that is charged to its engine while the caller takes its time to read it.
#[test]
fn reassign_counts_for_new_source() {
    let mut ledger = ByteLedger::new(LIMIT);
    let answer = opened(&mut ledger, server(8_001), 6_000);
    let other = opened(&mut ledger, server(8_001), 1_000);
    assert!(ledger.reassign(answer, account(1)));
    opened(&mut ledger, account(2), 4_000);
    assert_eq!(ended(&mut ledger), [answer]);
    assert!(!ledger.reassign(answer, account(2)));
    assert!(ledger.resize(other, 1_000));
}

/// Bodies of running requests take up a lowered limit. Guards against the end of all other buffers, which would free
/// nothing of it.
#[test]
fn end_excess_beside_protected_holders() {
    let mut ledger = ByteLedger::new(LIMIT);
    for _ in 0..4 {
        let running = opened(&mut ledger, account(1), 2_000);
        assert!(ledger.protect(running));
    }
    let streams: Vec<u64> = (0..14)
        .map(|port| opened(&mut ledger, server(8_000 + port), 60))
        .collect();
    ledger.set_limit(6_700);
    assert!(ended(&mut ledger).is_empty());
    assert!(streams.iter().all(|stream| ledger.resize(*stream, 60)));
    // One that grows beyond the part of the others is given up, and nothing else.
    let flood = opened(&mut ledger, server(9_000), 500);
    assert_eq!(ended(&mut ledger), [flood]);
}

/// A lowered limit ends nothing that was within the one before. Guards against answers that are cut by a change of the
/// settings, and against a limit that stays as it was.
#[test]
fn end_excess_after_lowered_limit() {
    let mut ledger = ByteLedger::new(LIMIT);
    let answers: Vec<u64> = (0..9)
        .map(|number| opened(&mut ledger, account(number), 1_000))
        .collect();
    ledger.set_limit(5_000);
    assert!(ended(&mut ledger).is_empty());
    ledger.close(answers[0]);
    ledger.close(answers[1]);
    opened(&mut ledger, account(4), 100);
    assert_eq!(ended(&mut ledger).len(), 1, "7,000 bytes were left");
    // What is held beyond twice a lowered limit is given up at once: 6,100 bytes, in buffers of 1,000.
    ledger.set_limit(1_000);
    ended(&mut ledger);
    assert_eq!(ledger.held_bytes(), 1_100);
}

/// Bodies that may not be ended must not exceed the limit together, as nothing else could be given up for them. Small
/// ones still find room beside them.
#[test]
fn protect_beyond_limit() {
    let mut ledger = ByteLedger::new(LIMIT);
    for _ in 0..5 {
        let running = opened(&mut ledger, account(1), 2_000);
        assert!(ledger.protect(running));
    }
    let large = opened(&mut ledger, account(2), 1_000);
    assert!(!ledger.protect(large));
    assert!(!ledger.resize(large, 1_000), "it has been ended");
    let mut protected = 0;
    for _ in 0..40 {
        let small = opened(&mut ledger, account(2), 100);
        protected += usize::from(ledger.protect(small));
    }
    assert_eq!(protected, 12, "an eighth of the limit");
    let empty = ledger.open(account(2));
    assert!(ledger.protect(empty));
}
