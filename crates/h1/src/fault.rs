//! Why a connection can't be used further.

use std::io;

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum H1Fault {
    /// The connection ended between two messages.
    #[error("the connection was closed between two messages")]
    Closed,
    /// The connection ended inside a message.
    #[error("the connection was closed inside a message")]
    Truncated,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The head is not HTTP/1.1, or two parsers could read it differently.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head is longer than its bound.
    #[error("the head is longer than its bound")]
    HeadTooLong,
    /// The body is longer than its bound.
    #[error("the body is longer than its bound")]
    BodyTooLong,
    /// There is no room to hold the body.
    #[error("there is no room to hold the body")]
    MemoryLimit,
}

impl H1Fault {
    /// Whether the peer ended the connection in an orderly way between messages.
    ///
    /// ```
    /// assert!(berylmount_h1::H1Fault::Closed.is_closed());
    /// assert!(!berylmount_h1::H1Fault::Truncated.is_closed());
    /// ```
    pub fn is_closed(&self) -> bool {
        matches!(self, Self::Closed)
    }
}
