//! The client of one model engine.

use crate::{
    fault::TargetFault,
    http::{encode, HttpCaller, TargetTimeouts},
    stream::EngineStream,
};
use berylmount_model::{AttemptId, ModelName, PieceKey, PieceScope, VersionName};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use strum::{Display, EnumString, IntoStaticStr};
use ureq::http::Method;

/// The largest count of tokens or streams that a load report may claim.
const MAX_REPORTED: u64 = 1 << 40;

/// What an engine's batch is used for.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and answers alike.
    Mixed,
    /// Mostly prompts.
    Prefill,
    /// Mostly answers.
    Decode,
}

/// An order to start a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamOrder<'a> {
    /// Names the stream on the engine.
    pub attempt: AttemptId,
    /// The prompt.
    pub prompt: &'a str,
    /// Customer scope, model, version and adapter.
    pub scope: &'a PieceScope,
    /// The keys of the prompt's whole pieces, in order.
    pub pieces: &'a [PieceKey],
    /// The longest answer, in tokens.
    pub max_tokens: u32,
    /// Smaller goes first.
    pub priority: u32,
    /// The caller's trace context, empty for none.
    pub traceparent: &'a str,
}

/// The order as it is sent.
#[derive(Serialize)]
struct StreamBody<'a> {
    stream: String,
    prompt: &'a str,
    scope: &'a str,
    model: &'a ModelName,
    version: &'a VersionName,
    adapter: &'a str,
    pieces: &'a [PieceKey],
    max_tokens: u32,
    priority: u32,
}

/// What an engine says of its load, some time late.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct LoadReport {
    /// Streams in the batch.
    pub running: u64,
    /// Streams that wait for a place.
    pub queued: u64,
    /// Prompt tokens still to be computed.
    pub prefill_tokens: u64,
    /// The loaded model.
    pub model: ModelName,
    /// The loaded weight version.
    pub version: VersionName,
    /// The version that is being loaded.
    pub loading: Option<VersionName>,
    /// The loaded adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// What the batch is used for.
    pub role: EngineRole,
    /// The highest fencing number of an order so far.
    pub fence: u64,
    /// Whether the engine takes no new work.
    pub leaving: bool,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct CacheEvent {
    /// Rises with every event; a gap may mean lost events or none.
    pub seq: u64,
    /// The piece.
    pub key: PieceKey,
    /// Whether it came or went.
    pub added: bool,
}

/// The answer that holds events.
#[derive(Deserialize)]
struct EventsBody {
    events: Vec<CacheEvent>,
}

/// An order that changes what an engine serves.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TargetOrder {
    /// Load a weight version.
    Load {
        /// The model.
        model: ModelName,
        /// The version.
        version: VersionName,
    },
    /// Load an adapter.
    Adapter {
        /// The adapter.
        adapter: String,
    },
    /// Change what the batch is used for.
    Role {
        /// The new use.
        role: EngineRole,
    },
}

/// An order with the fencing number of its sender's lease.
#[derive(Serialize)]
struct OrderBody<'a> {
    fence: u64,
    order: &'a TargetOrder,
}

/// A client of one engine.
///
/// Clones share nothing but settings, and calls may run at once.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pub(crate) caller: HttpCaller,
}

impl EngineClient {
    /// A client of the engine at `address`.
    ///
    /// ```
    /// use berylmount_targets::{EngineClient, TargetTimeouts};
    ///
    /// let address = "127.0.0.1:9".parse().unwrap();
    /// let client = EngineClient::new(address, TargetTimeouts::default());
    /// assert_eq!(client.address(), address);
    /// ```
    pub fn new(address: SocketAddr, timeouts: TargetTimeouts) -> Self {
        Self {
            caller: HttpCaller::new(address, timeouts),
        }
    }

    /// The engine's address.
    pub fn address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Starts a stream, or joins it if the engine has the attempt already.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] with the verdict `NotRun` when no connection
    /// was made or the engine refused, and `MayHaveRun` when it fell silent.
    pub fn start(&self, order: &StreamOrder<'_>) -> Result<EngineStream, TargetFault> {
        let body = encode(&StreamBody {
            stream: order.attempt.to_string(),
            prompt: order.prompt,
            scope: &order.scope.customer_scope,
            model: &order.scope.model,
            version: &order.scope.version,
            adapter: &order.scope.adapter,
            pieces: order.pieces,
            max_tokens: order.max_tokens,
            priority: order.priority,
        })?;
        let answer = self
            .caller
            .open(Method::POST, "/v1/streams", &body, order.traceparent)?;
        Ok(EngineStream::new(answer.into_body().into_reader(), 0))
    }

    /// Reads a stream again from `offset`, over a new connection.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`]; `Rejected(Unknown)` when the engine no
    /// longer has the stream. The verdict is about the stream, not this call,
    /// so it is never `NotRun`.
    pub fn resume(&self, attempt: AttemptId, offset: u32) -> Result<EngineStream, TargetFault> {
        let path = format!("/v1/streams/{attempt}?offset={offset}");
        let answer = self.caller.open(Method::GET, &path, &[], "");
        let answer = answer.map_err(TargetFault::of_earlier)?;
        Ok(EngineStream::new(answer.into_body().into_reader(), offset))
    }

    /// Gives up a stream.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when the engine does not confirm it.
    pub fn cancel(&self, attempt: AttemptId) -> Result<(), TargetFault> {
        let path = format!("/v1/streams/{attempt}");
        let answer = self
            .caller
            .call::<Value, Value>(Method::DELETE, &path, None, None);
        answer.map(drop).map_err(TargetFault::of_earlier)
    }

    /// Asks for the load report.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when there is none or its numbers are absurd.
    pub fn load(&self) -> Result<LoadReport, TargetFault> {
        let report: LoadReport = self
            .caller
            .call(Method::GET, "/v1/load", None::<&Value>, None)?;
        let counts = [report.running, report.queued, report.prefill_tokens];
        if counts.iter().any(|&count| count > MAX_REPORTED) {
            return Err(TargetFault::bad_answer("a load report is out of range"));
        }
        Ok(report)
    }

    /// Asks for the cache events after `seq`.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when the engine does not answer.
    pub fn events(&self, seq: u64) -> Result<Vec<CacheEvent>, TargetFault> {
        let path = format!("/v1/events?after={seq}");
        let body: EventsBody = self.caller.call(Method::GET, &path, None::<&Value>, None)?;
        Ok(body.events)
    }

    /// Sends an order under a fencing number.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`]; `Rejected(StaleFence)` when the engine has
    /// seen a higher number.
    pub fn order(&self, fence: u64, order: &TargetOrder) -> Result<(), TargetFault> {
        let body = OrderBody { fence, order };
        let _: Value = self
            .caller
            .call(Method::POST, "/v1/orders", Some(&body), None)?;
        Ok(())
    }
}
