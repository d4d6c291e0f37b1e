use dandelionroad_core::hex::hex_text;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

/// The maximum number of tokens to generate if the request does not set one.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// The maximum number of tokens that a request may ask for.
const MAX_TOKENS: u64 = 32_768;

/// The maximum number of messages of a chat that are considered as shared with other chats.
const MAX_SHARED_MESSAGES: usize = 32;

/// A validated request to generate a completion.
#[derive(Clone, Debug)]
pub(super) struct CompletionRequest {
    /// Whether the request uses the chat route, rather than the completions route.
    pub(super) is_chat: bool,
    /// The model name as sent by the caller; it may be unknown or invalid.
    pub(super) model: String,
    /// The prompt; for a chat, its messages joined into one text.
    pub(super) prompt: String,
    /// The digests of a chat's messages but the last one, which other chats may share, 32 at most; empty for a prompt.
    pub(super) shared_messages: Vec<String>,
    /// The maximum number of tokens to generate.
    pub(super) max_tokens: u32,
    /// Whether to stream the answer token by token.
    pub(super) is_stream: bool,
    /// Whether to end a stream with the token usage.
    pub(super) has_usage: bool,
}

impl CompletionRequest {
    /// Parses and validates the JSON body of a request.
    ///
    /// # Errors
    ///
    /// Returns a one-sentence description of the first fault if the body is not valid JSON, a field
    /// is missing or invalid, or an unsupported option is set.
    pub(super) fn parse(body: &[u8], is_chat: bool) -> Result<CompletionRequest, String> {
        let body: Value = serde_json::from_slice(body)
            .map_err(|error| format!("the body is not valid JSON: {error}"))?;
        let model = body["model"]
            .as_str()
            .ok_or("the field model must be a string")?;
        let (prompt, shared_messages) = if is_chat {
            chat_prompt(&body["messages"])?
        } else {
            (text_prompt(&body["prompt"])?, Vec::new())
        };
        check_unsupported(&body)?;
        Ok(CompletionRequest {
            is_chat,
            model: model.to_owned(),
            prompt,
            shared_messages,
            max_tokens: max_tokens(&body)?,
            is_stream: bool_field(&body, "stream")?,
            has_usage: bool_field(&body["stream_options"], "include_usage")?,
        })
    }
}

fn text_prompt(prompt: &Value) -> Result<String, String> {
    let text = match prompt {
        Value::Array(items) if items.len() == 1 => items[0].as_str(),
        other => other.as_str(),
    };
    let text = text.ok_or("the field prompt must be one string")?;
    Ok(text.to_owned())
}

/// Returns the prompt of a chat, and the digests of its messages but the last one.
fn chat_prompt(messages: &Value) -> Result<(String, Vec<String>), String> {
    let messages = messages
        .as_array()
        .filter(|messages| !messages.is_empty())
        .ok_or("the field messages must be a list with at least one message")?;
    let mut prompt = String::new();
    let mut digests = Vec::new();
    for message in messages {
        let role = message["role"]
            .as_str()
            .ok_or("each message must have a role")?;
        let content = message_text(&message["content"])?;
        let line = format!("{role}: {content}\n");
        digests.push(hex_text(&Sha256::digest(&line)));
        prompt.push_str(&line);
    }
    prompt.push_str("assistant:");
    digests.pop();
    digests.truncate(MAX_SHARED_MESSAGES);
    Ok((prompt, digests))
}

/// Returns the content of a message, which is a string or a list of text parts.
fn message_text(content: &Value) -> Result<String, String> {
    let fault = "the content of each message must be text";
    match content {
        Value::String(text) => Ok(text.clone()),
        Value::Null => Ok(String::new()),
        Value::Array(parts) => {
            let texts = parts.iter().map(|part| part["text"].as_str());
            let texts: Option<Vec<&str>> = texts.collect();
            Ok(texts.ok_or(fault)?.concat())
        }
        _ => Err(fault.to_owned()),
    }
}

fn max_tokens(body: &Value) -> Result<u32, String> {
    let values = [&body["max_completion_tokens"], &body["max_tokens"]];
    let Some(value) = values.into_iter().find(|value| !value.is_null()) else {
        return Ok(DEFAULT_MAX_TOKENS as u32);
    };
    let count = value
        .as_u64()
        .filter(|count| (1..=MAX_TOKENS).contains(count));
    let count = count.ok_or(format!("max_tokens must be from 1 to {MAX_TOKENS}"))?;
    Ok(count as u32)
}

fn bool_field(body: &Value, name: &str) -> Result<bool, String> {
    match &body[name] {
        Value::Null => Ok(false),
        Value::Bool(value) => Ok(*value),
        _ => Err(format!("the field {name} must be true or false")),
    }
}

/// Rejects unsupported options that would change the content or the form of the answer.
fn check_unsupported(body: &Value) -> Result<(), String> {
    for name in ["n", "best_of"] {
        if !body[name].is_null() && body[name].as_u64() != Some(1) {
            return Err(format!("the field {name} must be 1"));
        }
    }
    let has_stop = match &body["stop"] {
        Value::Null => false,
        Value::Array(items) => !items.is_empty(),
        _ => true,
    };
    if has_stop {
        return Err("the field stop is not supported".to_owned());
    }
    Ok(())
}
