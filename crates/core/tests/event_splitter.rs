//! Guards against events that are lost, repeated or cut when a stream is split or resumed, and against memory
//! that events without end take.

use dandelionroad_core::relay::EventFault;
use dandelionroad_core::relay::EventSplitter;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Guards against incomplete, repeated or missing events at a caller when a stream is resumed after
/// it broke off at any byte.
#[test]
fn event_splitter_random_cuts() {
    let events: Vec<u8> = (1..60)
        .flat_map(|id| format!("id: {id}\ndata: token {id}\n\n").into_bytes())
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..2_000 {
        // The first run is cut anywhere; the second one resumes after the last complete event.
        let cut = rng.random_range(0..events.len());
        let mut passed = Vec::new();
        let mut splitter = EventSplitter::new(None);
        let mut rest = &events[..cut];
        while !rest.is_empty() {
            let length = rng.random_range(1..=rest.len().min(40));
            passed.extend(splitter.push(&rest[..length]).unwrap());
            rest = &rest[length..];
        }
        let last = splitter.last_id().unwrap_or(0);
        let tail = format!("id: {}\n", last + 1);
        let start = events
            .windows(tail.len())
            .position(|window| window == tail.as_bytes());
        let mut splitter = EventSplitter::new(splitter.last_id());
        passed.extend(
            splitter
                .push(&events[start.unwrap_or(events.len())..])
                .unwrap(),
        );
        assert_eq!(passed, events);
    }
}

/// Lines end with LF, CR or CRLF by the format of event streams. Guards against events that are not found, changed
/// bytes, and events that are cut where a CR and its LF arrive apart.
#[test]
fn event_splitter_line_ends() {
    let mut rng = ChaCha8Rng::seed_from_u64(12);
    let ends = ["\n", "\r", "\r\n"];
    for round in 0..3_000 {
        let mut events = Vec::new();
        for id in 1..20 {
            let end = || match round % 4 {
                // A stream may mix them; an LF right after a CR would belong to it.
                3 => "\r\n",
                fixed => ends[fixed],
            };
            let lines = [
                format!("id: {id}"),
                format!("data: token {id}"),
                String::new(),
            ];
            for line in lines {
                events.extend_from_slice(line.as_bytes());
                events.extend_from_slice(end().as_bytes());
            }
            if round % 4 == 3 && rng.random_bool(0.3) {
                events.extend_from_slice(b": comment\n\n");
            }
        }
        let mut splitter = EventSplitter::new(None);
        let mut passed = Vec::new();
        let mut rest = &events[..];
        while !rest.is_empty() {
            let length = rng.random_range(1..=rest.len().min(30));
            let complete = splitter.push(&rest[..length]).unwrap();
            passed.extend(complete);
            rest = &rest[length..];
            let text = String::from_utf8_lossy(&passed);
            let begun = text.matches("id: ").count() as u64;
            assert_eq!(
                begun,
                splitter.event_count(),
                "an event is passed on in parts"
            );
        }
        assert_eq!(passed, events, "round {round}");
        assert!(!splitter.has_partial_event(), "round {round}");
        assert_eq!((splitter.last_id(), splitter.data_count()), (Some(19), 19));
    }
}

/// A stream of each kind of line end is cut at each byte, and goes on after the last whole event.
#[test]
fn event_splitter_line_ends_resumed() {
    for end in ["\n", "\r", "\r\n"] {
        let event = |id: u64| format!("id: {id}{end}data: token {id}{end}{end}").into_bytes();
        let events: Vec<u8> = (1..6).flat_map(event).collect();
        for cut in 0..events.len() {
            let mut first = EventSplitter::new(None);
            let passed = first.push(&events[..cut]).unwrap();
            let last = first.last_id().unwrap_or(0);
            let mut second = EventSplitter::new(first.last_id());
            let rest: Vec<u8> = (last + 1..6).flat_map(event).collect();
            let rest = second.push(&rest).unwrap();
            let whole = [passed, rest].concat();
            // A CR may end the last event before its LF arrives, which a caller takes for the same line end.
            let normalized = |bytes: &[u8]| {
                String::from_utf8_lossy(bytes)
                    .replace("\r\n", "\n")
                    .replace('\r', "\n")
            };
            assert_eq!(
                normalized(&whole),
                normalized(&events),
                "{end:?} cut at {cut}"
            );
        }
    }
}

/// Guards against a resumed stream that repeats or skips an event.
#[test]
fn event_splitter_repeated_event() {
    let mut splitter = EventSplitter::new(Some(4));
    assert_eq!(
        splitter.push(b"id: 4\ndata: x\n\n"),
        Err(EventFault::OutOfOrder { id: 4 })
    );
    let mut splitter = EventSplitter::new(Some(4));
    assert_eq!(
        splitter.push(b"id: 6\ndata: x\n\n"),
        Err(EventFault::OutOfOrder { id: 6 })
    );
}

/// Guards against an error, or the head of one, that an engine writes where an event is due, and against refusing
/// what the format allows.
#[test]
fn event_splitter_malformed_events() {
    let malformed: [&[u8]; 6] = [
        b"HTTP/1.1 500 Failed\r\nrequest: r1\r\n\r\nno engine\n\n",
        b"upstream connect error\n\n",
        b"{\"error\":\"no engine\"}\n\n",
        b"id: 2\n<html>\n\n",
        b"\xff\xfe\n\n",
        b"id: 2\ndata: a\nno colon here\n\n",
    ];
    for bytes in malformed {
        let mut splitter = EventSplitter::new(None);
        splitter.push(b"id: 1\ndata: a\n\n").unwrap();
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(splitter.push(bytes), Err(EventFault::Malformed), "{text}");
    }
    let sound: [&[u8]; 6] = [
        b": a comment, of any kind {}\n\n",
        b"event: ping\nretry: 100\n\n",
        b"x-other-field: 3\nid: 2\ndata: a\n\n",
        b"data\nid: 2\n\n",
        b"data: [DONE]\n\n",
        b"id:2\ndata:{\"a\": \"b\"}\n\n",
    ];
    for bytes in sound {
        let mut splitter = EventSplitter::new(None);
        let first = "\u{feff}id: 1\ndata: a\n\n".as_bytes();
        assert_eq!(splitter.push(first).unwrap(), first);
        assert_eq!(splitter.push(bytes).unwrap(), bytes);
    }
}

/// Guards against the first event of a resumed stream that can't be matched to the events before it, and against
/// the greatest identifier.
#[test]
fn event_splitter_resumed_without_identifier() {
    let mut splitter = EventSplitter::new(Some(4));
    assert_eq!(splitter.push(b": comment\n\n").unwrap(), b": comment\n\n");
    let fault = splitter.push(b"data: no engine\n\n");
    assert_eq!(fault, Err(EventFault::Malformed));
    let mut splitter = EventSplitter::new(Some(u64::MAX));
    let fault = splitter.push(b"id: 0\ndata: a\n\n");
    assert_eq!(fault, Err(EventFault::OutOfOrder { id: 0 }));
}

/// Guards against memory that an engine fills with an event or with comments that never end, and against
/// the time to search the same bytes again with each new one.
#[test]
fn event_splitter_endless_event_is_refused() {
    for piece in [&b"data: x"[..], &b":\n\n"[..], &b"\n"[..]] {
        let mut splitter = EventSplitter::new(None);
        splitter.push(b"id: 1\ndata: a\n\n").unwrap();
        let mut pushed = 0;
        let fault = loop {
            match splitter.push(piece) {
                Ok(_) => pushed += piece.len(),
                Err(fault) => break fault,
            }
            assert!(pushed <= 1_000_000, "{pushed} bytes without an event");
        };
        assert_eq!(fault, EventFault::TooLong);
        assert_eq!(splitter.data_count(), 1);
    }
    // Any number of events may follow each other.
    let mut splitter = EventSplitter::new(None);
    let event = [&b"data: "[..], &[b'x'; 1_000], &b"\n\n"[..]].concat();
    for _ in 0..1_000 {
        splitter.push(&event).unwrap();
    }
}
