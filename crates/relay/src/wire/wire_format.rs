use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::RelayConfig;
use hyper::HeaderMap;
use hyper::http::request::Parts;

use super::CallerRequest;
use super::DecodeError;
use super::EncodedCall;
use super::EngineCall;
use super::EngineOrder;
use super::EngineReport;
use super::OrderAnswer;
use super::ResponseHead;
use super::StoreCall;
use super::StoreReply;
use super::StoreRow;

/// The encoding of a deployment's protocols with callers, engines and the store.
pub trait WireFormat {
    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if the request has no identifier or a header is malformed.
    fn decode_request(&self, parts: &Parts) -> Result<CallerRequest, DecodeError>;

    /// Returns the headers with which a caller's request is forwarded to an engine.
    fn encode_request_headers(&self, headers: &HeaderMap, call: &EngineCall<'_>) -> HeaderMap;

    /// Decodes the status and headers of an engine's response.
    fn decode_response_head(&self, status: u16, headers: &HeaderMap) -> ResponseHead;

    /// Returns the headers of an engine's response that are forwarded to the caller.
    ///
    /// The relay removes those that frame the body, as it frames the answer itself.
    fn caller_response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the headers of a response with which the relay itself refuses a request.
    fn refusal_headers(&self, request: &str, retry_after_ms: Option<u64>) -> HeaderMap;

    /// Encodes the request for the report of the engine with this identifier.
    fn encode_report_request(&self, engine: &str) -> EncodedCall;

    /// Decodes an engine's report.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a report.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Encodes a placement order.
    fn encode_order(&self, order: &EngineOrder<'_>) -> EncodedCall;

    /// Decodes an engine's response to a placement order from its status.
    fn decode_order_answer(&self, status: u16) -> OrderAnswer;

    /// Encodes a request to the store.
    fn encode_store_call(&self, call: &StoreCall) -> EncodedCall;

    /// Decodes a response of the store to `call`; the headers name the era.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a response to `call`, or the era is malformed.
    fn decode_store_reply(
        &self,
        call: &StoreCall,
        status: u16,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<StoreReply, DecodeError>;

    /// Decodes the operator's configuration from the rows of its table; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the row is malformed.
    fn decode_config(&self, rows: &[StoreRow]) -> Result<Option<RelayConfig>, DecodeError>;

    /// Decodes the registration of one engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the row is malformed or describes no usable engine.
    fn decode_engine(&self, row: &StoreRow) -> Result<EngineRecord, DecodeError>;
}
