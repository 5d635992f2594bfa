//! The parts of a caller's request that the gateway interprets.

use std::time::Duration;

/// One part of a prompt; requests with the same part id share it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part, in hexadecimal.
    pub id: String,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Size of a prompt and of its output, and the parts of the prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptShape {
    /// Requested model.
    pub model: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the output in tokens.
    pub max_output_tokens: u32,
    /// Parts in order; the last one is specific to the request or session.
    pub parts: Vec<PromptPart>,
}

/// Metadata from the head of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerRequest {
    /// Caller's id of this attempt; empty if absent.
    pub id: String,
    /// How long the caller waits for the response, if stated.
    pub caller_timeout: Option<Duration>,
    /// Key that identifies the customer, if present.
    pub key: Option<String>,
    /// Number of the last event of this stream that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of this stream.
    pub resumes: Option<String>,
    /// Prompt, for requests to a model.
    pub prompt: Option<PromptShape>,
}
