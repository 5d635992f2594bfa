//! Typed rows of the operators' table.
//!
//! These are the rows after checking. The `table` crate turns an operator's
//! cells into them and refuses what does not fit.

use crate::{CustomerName, ModelName, PoolName, VersionName, WorkName};
use serde::{Deserialize, Serialize};
use std::fmt;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The kinds of row.
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
    /// A customer: key, weight and limits.
    Customer,
    /// A kind of work.
    Work,
    /// A limit of one customer on one kind of work.
    Limit,
    /// A model and the version that it serves by default.
    Model,
    /// A target pool.
    Pool,
}

/// Names a row: its kind and its name within the kind.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RowKey {
    /// The row's kind.
    pub kind: RowKind,
    /// The row's name; `customer/work` for a limit.
    pub name: String,
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind, self.name)
    }
}

/// How work is ordered in a queue, first to last.
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
    /// Certifications and registrations: before all else.
    Critical,
    /// Short work that a person waits for.
    Interactive,
    /// Everything else that has a time limit.
    Standard,
    /// Long reports.
    Bulk,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerRow {
    /// The customer.
    pub name: CustomerName,
    /// SHA-256 of the customer's key, in hexadecimal.
    pub key_hash: String,
    /// Share of a contended resource, relative to other customers.
    pub weight: u32,
    /// New requests a second.
    pub rate_per_s: f64,
    /// Requests that may come at once.
    pub burst: u32,
    /// Requests that may be in flight.
    pub in_flight: u32,
    /// The version that this customer sees of the model, if not the model's own.
    pub version: Option<VersionName>,
    /// Customers with the same scope share kept cache; the name unless set.
    pub cache_scope: String,
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkRow {
    /// The kind of work.
    pub name: WorkName,
    /// Its class in a queue.
    pub class: WorkClass,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The model, for work on engines.
    pub model: Option<ModelName>,
    /// The adapter, empty for none.
    pub adapter: String,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Time limit to the first token or the answer, in milliseconds.
    pub first_token_ms: u64,
    /// Time limit of the whole answer, in milliseconds.
    pub total_ms: u64,
    /// The longest answer, in tokens.
    pub max_tokens: u32,
    /// The longest prompt, in tokens.
    pub max_prompt_tokens: u32,
    /// Share within its class.
    pub weight: u32,
}

/// A limit of one customer on one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRow {
    /// The customer.
    pub customer: CustomerName,
    /// The kind of work.
    pub work: WorkName,
    /// New requests a second.
    pub rate_per_s: f64,
    /// Requests that may come at once.
    pub burst: u32,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelRow {
    /// The model.
    pub name: ModelName,
    /// The version that customers see unless their row says otherwise.
    pub version: VersionName,
}

/// What a pool's instances are.
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
    /// Kept-cache stores.
    Store,
    /// A plain service.
    Service,
}

/// A target pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolRow {
    /// The pool.
    pub name: PoolName,
    /// What its instances are.
    pub role: PoolRole,
    /// Whether its targets refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// Runners that may load weights at once.
    pub parallel_loads: u32,
    /// Bytes a second of the link to it, zero for no bound.
    pub link_bytes_per_s: u64,
}

/// A checked row.
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
    /// The row's key.
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
