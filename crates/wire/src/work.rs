//! Messages between entry and dispatch.

use berylmount_model::{
    AttemptId, CallRefusal, CustomerName, DataCentre, InstanceName, OrderKey, PieceScope, PoolName,
    RequestId, WorkClass, WorkName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The first message of a call from an entry to a dispatch process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkRequest {
    /// Run a prompt.
    Prompt(PromptCall),
    /// Go on with an answer that this dispatch process holds.
    Resume(ResumeCall),
    /// Go on with an engine's stream that another dispatch process started.
    Adopt(AdoptCall),
    /// Cancel a request.
    Cancel {
        /// The request.
        request: RequestId,
        /// Who asks.
        customer: CustomerName,
    },
    /// Run an order once.
    Order(OrderCall),
    /// Read from a plain service.
    Read(ReadCall),
}

/// An answer that a dispatch process holds, to go on with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResumeCall {
    /// The attempt whose tokens the caller has.
    pub attempt: AttemptId,
    /// Who asks.
    pub customer: CustomerName,
    /// The next token wanted.
    pub offset: u64,
}

/// A prompt with everything that the entry decided on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PromptCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// Who asks.
    pub customer: CustomerName,
    /// The customer's share of contended resources.
    pub customer_weight: u32,
    /// The kind of work.
    pub work: WorkName,
    /// Its class.
    pub class: WorkClass,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The data centre of the runner group.
    pub data_centre: DataCentre,
    /// The number of the runner group within pool and data centre.
    pub group: u32,
    /// The scope of kept cache, with model, version and adapter.
    pub scope: PieceScope,
    /// The prompt.
    pub prompt: String,
    /// The longest answer, in tokens.
    pub max_tokens: u32,
    /// Time left to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time left to the whole answer, in milliseconds.
    pub total_ms: u64,
    /// The trace's context, empty for none.
    pub traceparent: String,
}

/// An engine's stream to go on with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdoptCall {
    /// The attempt whose stream it is.
    pub attempt: AttemptId,
    /// Who asks.
    pub customer: CustomerName,
    /// The runner.
    pub runner: InstanceName,
    /// Where the runner listens.
    pub address: SocketAddr,
    /// The next token wanted.
    pub offset: u64,
    /// Time left to the whole answer, in milliseconds.
    pub total_ms: u64,
    /// The trace's context, empty for none.
    pub traceparent: String,
}

/// Work that may not run twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderCall {
    /// The request.
    pub request: RequestId,
    /// Who asks.
    pub customer: CustomerName,
    /// The kind of work.
    pub work: WorkName,
    /// The pool of the plain service.
    pub pool: PoolName,
    /// The caller's idempotency key.
    pub key: OrderKey,
    /// The body.
    pub body: String,
    /// Time left, in milliseconds.
    pub total_ms: u64,
    /// The trace's context, empty for none.
    pub traceparent: String,
}

/// A read from a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReadCall {
    /// The request.
    pub request: RequestId,
    /// Who asks.
    pub customer: CustomerName,
    /// The pool of the plain service.
    pub pool: PoolName,
    /// The path and query to read.
    pub path: String,
    /// Time left, in milliseconds.
    pub total_ms: u64,
    /// The trace's context, empty for none.
    pub traceparent: String,
}

/// Where and how a prompt runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartedRun {
    /// The attempt.
    pub attempt: AttemptId,
    /// The runner.
    pub runner: InstanceName,
    /// Where the runner listens.
    pub address: SocketAddr,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens found in the runner's cache, fetched ones included.
    pub cached_tokens: u64,
    /// Tokens fetched from a kept-cache store for this run.
    pub fetched_tokens: u64,
    /// Expected wait for new work in the runner group, by class, in milliseconds.
    pub group_waits_ms: [u32; 4],
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The request.
    pub request: RequestId,
    /// The body.
    pub body: String,
    /// Whether the answer is the record of an earlier run.
    pub recorded: bool,
}

/// A message from a dispatch process to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkReply {
    /// The run was admitted by a runner.
    Started(StartedRun),
    /// One token.
    Token {
        /// The attempt.
        attempt: AttemptId,
        /// Its place in the answer, from zero.
        offset: u64,
        /// The token.
        text: String,
    },
    /// The answer is whole.
    End {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens in the answer.
        count: u64,
        /// Digest of all tokens, in hexadecimal.
        digest: String,
    },
    /// A plain service's answer.
    Answer(AnswerBody),
    /// The request is given up on.
    Refused(CallRefusal),
}
