use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::stream::StopReason;
use serde_json::Value;
use serde_json::json;

use super::completion_request::CompletionRequest;

/// The assumed length of a prompt token in bytes; the entry has no tokenizer for the usage figures.
const PROMPT_TOKEN_BYTES: usize = 4;

/// Builds the JSON bodies of one answer: the complete one, or the chunks of a stream.
#[derive(Clone, Debug)]
pub(super) struct AnswerBody {
    id: String,
    is_chat: bool,
    model: String,
    created: u64,
    prompt_tokens: usize,
}

impl AnswerBody {
    /// Creates the builder for the answer to `request`.
    pub(super) fn new(ident: &RequestIdent, request: &CompletionRequest) -> AnswerBody {
        let prefix = if request.is_chat { "chatcmpl" } else { "cmpl" };
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        AnswerBody {
            id: format!("{prefix}-{ident}"),
            is_chat: request.is_chat,
            model: request.model.clone(),
            created: now.unwrap_or_default().as_secs(),
            prompt_tokens: request.prompt.len().div_ceil(PROMPT_TOKEN_BYTES),
        }
    }

    /// Returns the body of a complete answer.
    pub(super) fn completion(&self, text: &str, reason: StopReason, tokens: u32) -> Value {
        let mut choice = json!({"index": 0, "logprobs": null, "finish_reason": stop_text(reason)});
        if self.is_chat {
            choice["message"] = json!({"role": "assistant", "content": text});
        } else {
            choice["text"] = json!(text);
        }
        let object = if self.is_chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let mut body = self.envelope(object, vec![choice]);
        body["usage"] = self.usage(tokens);
        body
    }

    /// Returns the chunk of one token.
    pub(super) fn token_chunk(&self, text: &str, is_first: bool) -> Value {
        let content = if is_first && self.is_chat {
            json!({"role": "assistant", "content": text})
        } else {
            json!({"content": text})
        };
        self.chunk(content, text, Value::Null)
    }

    /// Returns the chunk that ends a complete answer, with the reason why it ended.
    pub(super) fn finish_chunk(&self, reason: StopReason) -> Value {
        self.chunk(json!({}), "", json!(stop_text(reason)))
    }

    /// Returns the chunk with the token usage.
    pub(super) fn usage_chunk(&self, tokens: u32) -> Value {
        let mut body = self.envelope(self.chunk_object(), Vec::new());
        body["usage"] = self.usage(tokens);
        body
    }

    fn chunk(&self, delta: Value, text: &str, finish: Value) -> Value {
        let choice = if self.is_chat {
            json!({"index": 0, "delta": delta, "logprobs": null, "finish_reason": finish})
        } else {
            json!({"index": 0, "text": text, "logprobs": null, "finish_reason": finish})
        };
        self.envelope(self.chunk_object(), vec![choice])
    }

    fn chunk_object(&self) -> &'static str {
        if self.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }

    fn envelope(&self, object: &str, choices: Vec<Value>) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        })
    }

    fn usage(&self, tokens: u32) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens as usize,
        })
    }
}

fn stop_text(reason: StopReason) -> &'static str {
    match reason {
        StopReason::Stop => "stop",
        StopReason::Length => "length",
    }
}
