//! Command line of the stand-ins.

// The macro makes public items without documentation of their own.
#![allow(missing_docs, unreachable_pub)]

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins for the systems around berylmount.
    cmd berylmount-standins {
        /// The platform's object API.
        cmd platform {
            /// Where to listen.
            required listen: SocketAddr
        }
        /// A model engine.
        cmd engine {
            /// Where to listen.
            required listen: SocketAddr
            /// The model, `blaze` unless set.
            optional --model model: String
            /// The weight version, `v1` unless set.
            optional --version version: String
        }
        /// A kept-cache store.
        cmd store {
            /// Where to listen.
            required listen: SocketAddr
        }
        /// A plain service.
        cmd service {
            /// Where to listen.
            required listen: SocketAddr
        }
        /// A proxy that injects faults.
        cmd proxy {
            /// Where to listen.
            required listen: SocketAddr
            /// What it stands before.
            required target: SocketAddr
            /// Where it takes orders.
            required admin: SocketAddr
        }
    }
}
