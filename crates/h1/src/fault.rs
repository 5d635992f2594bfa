//! Faults of a connection.

use std::io;

/// Reason why a message could not be read or written. The connection is unusable
/// afterwards.
#[derive(Debug, thiserror::Error)]
pub enum H1Fault {
    /// The peer closed the connection between two messages.
    #[error("the connection was closed between two messages")]
    Closed,
    /// The peer closed the connection within a message.
    #[error("the connection was closed within a message")]
    Truncated,
    /// Reading from or writing to the connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The message is not valid HTTP/1.1, or parsers could interpret it differently.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head exceeds its size limit, or a request has too many headers.
    #[error("the message head is too long or has too many headers")]
    HeadTooLong,
    /// The body exceeds its size limit.
    #[error("the message body exceeds its size limit")]
    BodyTooLong,
    /// There is not enough memory for the body.
    #[error("not enough memory for the message body")]
    MemoryLimit,
}

impl H1Fault {
    /// Returns whether the peer closed the connection cleanly between messages.
    ///
    /// ```
    /// assert!(berylmount_h1::H1Fault::Closed.is_closed());
    /// assert!(!berylmount_h1::H1Fault::Truncated.is_closed());
    /// ```
    pub fn is_closed(&self) -> bool {
        matches!(self, Self::Closed)
    }
}
