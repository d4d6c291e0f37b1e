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

/// The protocols of one deployment towards callers, engines and the store.
pub trait WireFormat {
    /// Reads what a caller's request says in its headers.
    ///
    /// # Errors
    ///
    /// Returns a fault if the request has no identifier or a header can't be read.
    fn decode_request(&self, parts: &Parts) -> Result<CallerRequest, DecodeError>;

    /// Returns the headers with which a caller's request is passed on to an engine.
    fn encode_request_headers(&self, headers: &HeaderMap, call: &EngineCall<'_>) -> HeaderMap;

    /// Reads what an engine's answer says in its headers.
    fn decode_response_head(&self, status: u16, headers: &HeaderMap) -> ResponseHead;

    /// Returns the headers of an engine's answer that are passed on to the caller.
    fn caller_response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the headers of an answer of dandelionroad itself.
    fn refusal_headers(&self, request: &str, retry_after_ms: Option<u64>) -> HeaderMap;

    /// Returns the call that asks an engine for its state.
    fn encode_report_request(&self) -> EncodedCall;

    /// Reads an engine's state.
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is not a report.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Returns the call that gives an engine an order.
    fn encode_order(&self, order: &EngineOrder) -> EncodedCall;

    /// Reads an engine's answer to an order from its status.
    fn decode_order_answer(&self, status: u16) -> OrderAnswer;

    /// Returns a call of the store.
    fn encode_store_call(&self, call: &StoreCall) -> EncodedCall;

    /// Reads an answer of the store.
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is not an answer to the call.
    fn decode_store_reply(
        &self,
        call: &StoreCall,
        status: u16,
        body: &[u8],
    ) -> Result<StoreReply, DecodeError>;

    /// Reads the operator's configuration from the rows of its table; none if it isn't there yet.
    ///
    /// # Errors
    ///
    /// Returns a fault if the row can't be read.
    fn decode_config(&self, rows: &[StoreRow]) -> Result<Option<RelayConfig>, DecodeError>;

    /// Reads the listing of one engine.
    ///
    /// # Errors
    ///
    /// Returns a fault if the row names no engine that can be used.
    fn decode_engine(&self, row: &StoreRow) -> Result<EngineRecord, DecodeError>;
}
