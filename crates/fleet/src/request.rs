//! A caller's request, as far as the gateway must understand it.

use std::time::Duration;

/// One part of a prompt, shared among requests by its id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The id, in hexadecimal.
    pub id: String,
    /// Tokens of this part.
    pub tokens: u32,
}

/// Size of a prompt and of its answer, and the parts it is made of.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptShape {
    /// The model that it asks for.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer at most.
    pub max_output_tokens: u32,
    /// Parts in their order; the last one belongs to the request or session.
    pub parts: Vec<PromptPart>,
}

/// What the gateway reads from the head of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerRequest {
    /// The caller's id of this attempt; empty if it sent none.
    pub id: String,
    /// How long the caller waits, if it says so.
    pub caller_timeout: Option<Duration>,
    /// The key that names the customer, if the caller sent one.
    pub key: Option<String>,
    /// Number of the last event that the caller has of this stream.
    pub last_event: Option<u64>,
    /// The prompt, for requests to a model.
    pub prompt: Option<PromptShape>,
}
