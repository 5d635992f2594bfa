//! Bounded HTTP server with a blocking interface.
//!
//! One thread runs every connection; other threads take calls from a bounded
//! channel, block on them as they like, and answer whole or piece by piece.
//!
//! Everything that a caller can make large or slow has a bound: connections,
//! request heads and bodies, the time of an idle or sending caller, and the
//! pieces of an answer that wait for a slow reader. When the connections are
//! used up, the one that has been idle for longest is closed for a new one.

mod answer;
mod call;
mod connections;
mod server;

pub use crate::{
    answer::{AnswerWriter, HttpAnswer},
    call::{BodyFault, HttpCall},
    server::{HttpConfig, HttpServer},
};
pub use http::{Method, StatusCode};
