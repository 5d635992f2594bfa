//! HTTP/1.1 connections with size limits, for both sides of a proxy.
//!
//! A proxy needs control that general clients and servers hide: which bytes of a
//! response are left unread, whether a request was written before its connection
//! broke, and whether the caller disconnected while nothing was read from it.
//! [`H1Stream`] provides that control over one connection; `httparse` parses the
//! heads.
//!
//! Invariants:
//!
//! - A head that two parsers could interpret differently is rejected: more than one
//!   Content-Length, Content-Length together with Transfer-Encoding, or a transfer
//!   coding other than `chunked`.
//! - Every head and body has a size limit in bytes. Bytes after the end of a message
//!   never become part of its body.
//! - A body that ends early is an error, never a regular end of the body.
//! - The end of a tunnel is never taken for the end of the server's stream.
//! - A client gets a connection back only once a request was written completely and its
//!   response was read completely.

mod body;
mod exchange;
mod fault;
mod frames;
mod head;
mod stream;

pub use crate::{
    body::{BodyFraming, BodyReader},
    exchange::{
        exchange, grown_capacity, read_counted_body, BufferedCall, BufferedReply, RequestExchange,
    },
    fault::H1Fault,
    frames::{end_frame, frame_head, StreamEnd, MAX_FRAME_BYTES},
    head::{push_headers, strip_hop_headers, RequestHead, ResponseHead},
    stream::{detect_dead_peer, H1Stream, HeadLimits, PeerRole, WatchEnd},
};
