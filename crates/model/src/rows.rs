//! Typed rows of the operators' configuration table.
//!
//! The `table` crate validates the cells that an operator enters and converts them to
//! these rows.

use crate::{CustomerName, ModelName, PoolName, VersionName, WorkName};
use serde::{Deserialize, Serialize};
use std::fmt;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Kind of a row.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RowKind {
    /// Customer: key, weight and limits.
    Customer,
    /// Kind of work.
    Work,
    /// Rate limit of one customer for one kind of work.
    Limit,
    /// Model and the version that it serves by default.
    Model,
    /// Pool of targets.
    Pool,
}

/// Key of a row: its kind, and its name within the kind.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RowKey {
    /// Kind of the row.
    pub kind: RowKind,
    /// Name of the row; `customer/work` for a limit.
    pub name: String,
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind, self.name)
    }
}

/// Priority class of work in a queue, highest first.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkClass {
    /// Certifications and registrations, which precede all other work.
    Critical,
    /// Short work that a user waits for.
    Interactive,
    /// Any other work with a time limit.
    Standard,
    /// Long reports.
    Bulk,
}

/// Row of a customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerRow {
    /// Name of the customer.
    pub name: CustomerName,
    /// SHA-256 of the customer's key, in hexadecimal.
    pub key_hash: String,
    /// Weight for fair sharing of contended resources among customers.
    pub weight: u32,
    /// Rate limit for new requests, per second.
    pub rate_per_s: f64,
    /// Burst size of the rate limit, in requests.
    pub burst: u32,
    /// Maximum number of requests in flight.
    pub in_flight: u32,
    /// Version that overrides the model's default for this customer.
    pub version: Option<VersionName>,
    /// Cache scope; customers with the same scope share KV cache. Defaults to the name.
    pub cache_scope: String,
}

/// Row of a kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkRow {
    /// Name of the kind of work.
    pub name: WorkName,
    /// Priority class.
    pub class: WorkClass,
    /// Pool that serves it.
    pub pool: PoolName,
    /// Model, for work on engines.
    pub model: Option<ModelName>,
    /// Adapter, or empty for none.
    pub adapter: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time limit to the first token or the response, in milliseconds.
    pub first_token_ms: u64,
    /// Time limit of the complete response, in milliseconds.
    pub total_ms: u64,
    /// Maximum length of the output, in tokens.
    pub max_tokens: u32,
    /// Maximum length of the prompt, in tokens.
    pub max_prompt_tokens: u32,
    /// Weight for fair sharing within its class.
    pub weight: u32,
}

/// Row of a rate limit of one customer for one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRow {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Name of the kind of work.
    pub work: WorkName,
    /// Rate limit for new requests, per second.
    pub rate_per_s: f64,
    /// Burst size of the rate limit, in requests.
    pub burst: u32,
}

/// Row of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelRow {
    /// Name of the model.
    pub name: ModelName,
    /// Version for customers whose row sets no other.
    pub version: VersionName,
}

/// Role of the instances of a pool.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    PartialEq,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PoolRole {
    /// Runners of a model engine.
    Engine,
    /// KV cache stores.
    Store,
    /// A plain service.
    Service,
}

/// Row of a pool of targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Name of the pool.
    pub name: PoolName,
    /// Role of its instances.
    pub role: PoolRole,
    /// Whether its targets reject an order with a stale fencing token.
    pub checks_fencing: bool,
    /// Maximum number of runners that load weights concurrently.
    pub parallel_loads: u32,
    /// Bandwidth limit of the link to the pool, in bytes per second; zero means none.
    pub link_bytes_per_s: u64,
}

/// A validated row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TableRow {
    /// A customer.
    Customer(CustomerRow),
    /// A kind of work.
    Work(WorkRow),
    /// A limit.
    Limit(LimitRow),
    /// A model.
    Model(ModelRow),
    /// A target pool.
    Pool(PoolRow),
}

impl TableRow {
    /// Returns the key of the row.
    pub fn key(&self) -> RowKey {
        let (kind, name) = match self {
            Self::Customer(row) => (RowKind::Customer, row.name.to_string()),
            Self::Work(row) => (RowKind::Work, row.name.to_string()),
            Self::Limit(row) => (RowKind::Limit, format!("{}/{}", row.customer, row.work)),
            Self::Model(row) => (RowKind::Model, row.name.to_string()),
            Self::Pool(row) => (RowKind::Pool, row.name.to_string()),
        };
        RowKey { kind, name }
    }
}
