//! Serves callers on the users' platform.
//!
//! One process an instance: it takes callers' requests, decides on a runner,
//! forwards and relays, and does its part of the duties that instances share.
//! One thread runs all of it as tasks, so that state is plain data without
//! locks; logs and metrics have threads of their own.
//!
//! | module | does |
//! | --- | --- |
//! | `process` | start, signals, planned stop |
//! | `state` | what all tasks share |
//! | `clock` | a clock that counts while the machine is suspended |
//! | `follow` | follows the object store |
//! | `neighbours` | asks other instances before the first table is in force |
//! | `roster` | runners, their connections and load |
//! | `accept` | takes connections |
//! | `callers` | callers' connections |
//! | `forward` | one request, from its head to its final answer |
//! | `call_log` | counts and the log line of a request |
//! | `placement` | brings runners before the policy |
//! | `upstream` | one try of a request at a runner |
//! | `relay` | an answer on its way to the caller |
//! | `event_split` | whole events out of a stream's bytes |
//! | `answers` | answers of our own |
//! | `replica` | copies of the store's objects |
//! | `kept` | stores of kept cache, and transfers for prompts |
//! | `lags` | how long requests wait that fetch from stores |
//! | `reclaim` | frees cached parts that nobody uses any more |
//! | `peers`, `peer_link` | what instances tell each other |
//! | `duty`, `weights` | the duty of one instance at a time: ordering weights |
//! | `gauges` | gauges of what the process believes |
//! | `instances` | the list of instances, and callers that ask for it |
//!
//! Invariants:
//!
//! - A request that may not be repeated is sent to a second runner only after
//!   the first one stated that it has not run it, or before anything was sent.
//! - A status that promises "not run" is sent only when that is certain.
//! - A route table is replaced only by a newer version, also after the store has
//!   come back from an older copy.

mod accept;
mod cache_stores;
mod call_log;
mod callers;
mod clock;
mod duty;
mod event_split;
mod follow;
mod forward;
mod gauges;
mod instances;
mod lags;
mod neighbours;
mod peer_link;
mod peers;
mod placement;
mod process;
mod reclaim;
mod relay;
mod replica;
mod reservation;
mod responses;
mod roster;
mod state;
mod transfers;
mod upstream;
mod weights;

pub use crate::{
    event_split::{EventBlock, EventSplitter},
    process::{Gateway, GatewayFault},
    replica::{KindReplica, ReplicaChange, ReplicaDelta, ReplicaRule},
};
