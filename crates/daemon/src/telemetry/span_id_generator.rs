use std::cell::Cell;

use dandelionroad_core::ident::RequestIdent;
use opentelemetry::SpanId;
use opentelemetry::TraceId;
use opentelemetry_sdk::trace::IdGenerator;
use opentelemetry_sdk::trace::RandomIdGenerator;
use sha2::Digest;
use sha2::Sha256;

thread_local! {
    /// The identifiers for the root span that the current thread starts next.
    static NEXT_ROOT: Cell<Option<(TraceId, SpanId)>> = const { Cell::new(None) };
}

/// Generates random identifiers, except for root spans started within [`with_root_ids`].
#[derive(Debug, Default)]
pub(super) struct SpanIdGenerator {
    random: RandomIdGenerator,
}

impl IdGenerator for SpanIdGenerator {
    fn new_trace_id(&self) -> TraceId {
        match NEXT_ROOT.get() {
            Some((trace, _)) => trace,
            None => self.random.new_trace_id(),
        }
    }

    fn new_span_id(&self) -> SpanId {
        match NEXT_ROOT.get() {
            Some((_, span)) => span,
            None => self.random.new_span_id(),
        }
    }
}

/// Calls `start`, which starts a root span with the identifiers derived from the request.
pub(super) fn with_root_ids<R>(request: &RequestIdent, start: impl FnOnce() -> R) -> R {
    NEXT_ROOT.set(Some(root_ids(request)));
    let result = start();
    NEXT_ROOT.set(None);
    result
}

/// Returns the identifiers of the trace and of the entry's span of a request.
///
/// Both are derived from the request identifier alone, so that every process computes the same
/// ones.
pub(super) fn root_ids(request: &RequestIdent) -> (TraceId, SpanId) {
    let digest: [u8; 32] = Sha256::digest(request.as_str()).into();
    let (span, rest) = digest.split_at(8);
    let text = request.as_str();
    let trace = match TraceId::from_hex(text) {
        Ok(trace) if text.len() == 32 => trace,
        // A request identifier chosen by a caller need not be hexadecimal.
        _ => TraceId::from_bytes(rest[..16].try_into().unwrap_or_default()),
    };
    (
        trace,
        SpanId::from_bytes(span.try_into().unwrap_or_default()),
    )
}
