use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::RelayConfig;
use hyper::HeaderMap;
use hyper::http::request::Parts;

use super::CallerRequest;
use super::EncodedCall;
use super::EngineAnswer;
use super::EngineCall;
use super::EngineOrder;
use super::EngineReport;
use super::OrderAnswer;
use super::StoreCall;
use super::StoreReply;
use super::StoreRow;
use super::WireFault;

/// The protocols of one deployment towards callers, engines and the store.
pub trait WireFormat {
    /// Reads what a caller's request says in its headers.
    ///
    /// # Errors
    ///
    /// Returns a fault if the request has no identifier or a header can't be read.
    fn decode_caller(&self, parts: &Parts) -> Result<CallerRequest, WireFault>;

    /// Returns the headers with which a caller's request is passed on to an engine.
    fn encode_headers(&self, headers: &HeaderMap, call: &EngineCall<'_>) -> HeaderMap;

    /// Reads what an engine's answer says in its headers.
    fn decode_answer(&self, status: u16, headers: &HeaderMap) -> EngineAnswer;

    /// Returns the headers of an engine's answer that are passed on to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the headers of an answer of dandelionroad itself.
    fn refusal_headers(&self, request: &str, retry_after_ms: Option<u64>) -> HeaderMap;

    /// Returns the call that asks an engine for its state.
    fn encode_report(&self) -> EncodedCall;

    /// Reads an engine's state.
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is not a report.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, WireFault>;

    /// Returns the call that gives an engine an order.
    fn encode_order(&self, order: &EngineOrder) -> EncodedCall;

    /// Reads an engine's answer to an order from its status.
    fn decode_order(&self, status: u16) -> OrderAnswer;

    /// Returns a call of the store.
    fn encode_store(&self, call: &StoreCall) -> EncodedCall;

    /// Reads an answer of the store.
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is not an answer to the call.
    fn decode_store(
        &self,
        call: &StoreCall,
        status: u16,
        body: &[u8],
    ) -> Result<StoreReply, WireFault>;

    /// Reads the operator's configuration from the rows of its table; none if it isn't there yet.
    ///
    /// # Errors
    ///
    /// Returns a fault if the row can't be read.
    fn decode_config(&self, rows: &[StoreRow]) -> Result<Option<RelayConfig>, WireFault>;

    /// Reads the listing of one engine.
    ///
    /// # Errors
    ///
    /// Returns a fault if the row names no engine that can be used.
    fn decode_engine(&self, row: &StoreRow) -> Result<EngineRecord, WireFault>;
}
