//! Bounded HTTP/1.1 connections for both ends of a forwarded request.
//!
//! A forwarder needs control that general clients and servers hide: which bytes
//! of an answer are left over, whether a request was written before its
//! connection broke, and whether the caller left while nothing was read from
//! it. [`H1Stream`] gives that control over one connection; `httparse` parses
//! the heads.
//!
//! Invariants:
//!
//! - A head that two parsers could read differently is refused: two lengths, a
//!   length beside chunks, or a transfer coding other than `chunked`.
//! - Every head and body has a bound in bytes, and nothing is read past the end
//!   of a message into its body.
//! - A body that ends early is an error, never an end.

mod body;
mod exchange;
mod fault;
mod head;
mod stream;

pub use crate::{
    body::{BodyFraming, BodyReader},
    exchange::{exchange, read_body, read_counted_body, BufferedCall},
    fault::H1Fault,
    head::{push_headers, strip_hop_headers, RequestHead, ResponseHead},
    stream::{H1Stream, HeadLimits},
};
