//! Protocol between berylmount processes: h2 streams with bincode.
//!
//! One call is one h2 stream. The stream's path names the protocol version and
//! the service; both directions then carry frames, each a little-endian `u32`
//! length and a bincode value. Lengths are checked before anything is
//! allocated or decoded.
//!
//! h2 needs an async runtime. One thread runs it; every other thread of a
//! process uses the blocking calls of [`PeerClient`], [`PeerServer`] and
//! [`PeerCall`].
//!
//! A connection that stops answering pings is dropped, its calls fail with
//! [`WireFault::Lost`], and the next call makes a new connection.

mod call;
mod client;
mod codec;
mod fault;
mod runtime;
mod server;
mod work;

pub use crate::{
    call::PeerCall,
    client::PeerClient,
    codec::{decode_frame, encode_frame, MAX_FRAME_BYTES},
    fault::WireFault,
    runtime::{PeerService, WireConfig, WireRuntime},
    server::{InboundCall, PeerServer},
    work::{
        AdoptCall, AnswerBody, OrderCall, PromptCall, ReadCall, ResumeCall, StartedRun, WorkReply,
        WorkRequest,
    },
};
