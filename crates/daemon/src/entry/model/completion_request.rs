use serde_json::Value;

/// The number of tokens to generate when the caller names none.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// The greatest number of tokens that a caller may ask for.
const MAX_TOKENS: u64 = 32_768;

/// A checked request for a completion.
#[derive(Clone, Debug)]
pub(super) struct CompletionRequest {
    /// Whether it came over the chat route.
    pub(super) is_chat: bool,
    /// The name of the model as the caller sent it.
    pub(super) model: String,
    /// The prompt; the messages of a chat in one text.
    pub(super) prompt: String,
    /// The greatest number of tokens to generate.
    pub(super) max_tokens: u32,
    /// Whether the answer is to be sent token by token.
    pub(super) is_stream: bool,
    /// Whether a stream is to end with the number of tokens.
    pub(super) has_usage: bool,
}

impl CompletionRequest {
    /// Reads the JSON body of a request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong, in one sentence.
    pub(super) fn parse(body: &[u8], is_chat: bool) -> Result<CompletionRequest, String> {
        let body: Value = serde_json::from_slice(body)
            .map_err(|error| format!("the body is not valid JSON: {error}"))?;
        let model = body["model"]
            .as_str()
            .ok_or("the field model must be a text")?;
        let prompt = if is_chat {
            chat_prompt(&body["messages"])?
        } else {
            text_prompt(&body["prompt"])?
        };
        check_unsupported(&body)?;
        Ok(CompletionRequest {
            is_chat,
            model: model.to_owned(),
            prompt,
            max_tokens: max_tokens(&body)?,
            is_stream: flag(&body, "stream")?,
            has_usage: flag(&body["stream_options"], "include_usage")?,
        })
    }
}

fn text_prompt(prompt: &Value) -> Result<String, String> {
    let text = match prompt {
        Value::Array(items) if items.len() == 1 => items[0].as_str(),
        other => other.as_str(),
    };
    let text = text.ok_or("the field prompt must be one text")?;
    Ok(text.to_owned())
}

fn chat_prompt(messages: &Value) -> Result<String, String> {
    let messages = messages
        .as_array()
        .filter(|messages| !messages.is_empty())
        .ok_or("the field messages must be a list with at least one message")?;
    let mut prompt = String::new();
    for message in messages {
        let role = message["role"]
            .as_str()
            .ok_or("each message must have a role")?;
        let content = message_text(&message["content"])?;
        prompt.push_str(&format!("{role}: {content}\n"));
    }
    prompt.push_str("assistant:");
    Ok(prompt)
}

/// Returns the text of a message, which is a text or a list of text parts.
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
    let named = [&body["max_completion_tokens"], &body["max_tokens"]];
    let Some(value) = named.into_iter().find(|value| !value.is_null()) else {
        return Ok(DEFAULT_MAX_TOKENS as u32);
    };
    let count = value
        .as_u64()
        .filter(|count| (1..=MAX_TOKENS).contains(count));
    let count = count.ok_or(format!("max_tokens must be from 1 to {MAX_TOKENS}"))?;
    Ok(count as u32)
}

fn flag(body: &Value, name: &str) -> Result<bool, String> {
    match &body[name] {
        Value::Null => Ok(false),
        Value::Bool(flag) => Ok(*flag),
        _ => Err(format!("the field {name} must be true or false")),
    }
}

/// Rejects what would change the shape of the answer and is not supported.
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
