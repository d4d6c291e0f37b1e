use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response::Parts;

use crate::wire::RefusalKind;
use crate::wire::WireFormat;

use super::caller_body::CallerBody;

/// The headers that frame one message or concern one connection.
///
/// The HTTP library writes those of an answer from the size of its body. Trailers are not passed on.
const FRAMING_FIELDS: [&str; 8] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers that describe the bytes of a whole body.
///
/// The body of a stream is put together from the events of one or more runs, so a length, digest, validator or byte
/// range of one run is false of it. `content-type` and `content-encoding` stay: they tell how to read the bytes that
/// are passed on.
const WHOLE_BODY_FIELDS: [&str; 8] = [
    "accept-ranges",
    "content-digest",
    "content-md5",
    "content-range",
    "digest",
    "etag",
    "last-modified",
    "repr-digest",
];

/// The head of an answer to a caller, without anything that frames its body.
///
/// All answers to callers are made from it, so an engine's framing can't reach a caller.
#[derive(Debug)]
pub(super) struct AnswerHead {
    status: StatusCode,
    headers: HeaderMap,
}

impl AnswerHead {
    /// Creates the head of an answer with the whole body of an engine's response.
    pub(super) fn of_whole(format: &dyn WireFormat, parts: &Parts) -> AnswerHead {
        AnswerHead::new(parts.status, format.caller_response_headers(&parts.headers))
    }

    /// Creates the head of an answer that begins with the events of an engine's response, and that other engines may
    /// continue.
    pub(super) fn of_stream(format: &dyn WireFormat, parts: &Parts) -> AnswerHead {
        let mut head = AnswerHead::of_whole(format, parts);
        remove_fields(&mut head.headers, &WHOLE_BODY_FIELDS);
        head
    }

    /// Creates the head of an answer with which the relay itself refuses a request.
    pub(super) fn of_refusal(kind: RefusalKind, headers: HeaderMap) -> AnswerHead {
        let status = StatusCode::from_u16(kind.status());
        AnswerHead::new(status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE), headers)
    }

    /// Adds the body.
    pub(super) fn into_response(self, body: CallerBody) -> Response<CallerBody> {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }

    fn new(status: StatusCode, mut headers: HeaderMap) -> AnswerHead {
        remove_fields(&mut headers, &FRAMING_FIELDS);
        AnswerHead { status, headers }
    }
}

/// Returns whether the end of a response's body can be told from the end of its connection.
pub(super) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn remove_fields(headers: &mut HeaderMap, names: &[&str]) {
    for name in names {
        headers.remove(*name);
    }
}
