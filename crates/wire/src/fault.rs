//! Faults of calls between processes.

use berylmount_model::RequestVerdict;

/// Why a call between processes failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WireFault {
    /// No connection was made, or the peer refused the stream unread.
    #[error("the peer was not reached: {0}")]
    NotSent(String),
    /// The peer speaks another protocol version.
    #[error("the peer does not speak protocol version {0}")]
    Version(u32),
    /// The connection or stream broke after something was sent.
    #[error("the call was lost: {0}")]
    Lost(String),
    /// Nothing came within the time given.
    #[error("the peer sent nothing in time")]
    TimedOut,
    /// The peer ended the call; nothing more comes.
    #[error("the peer ended the call")]
    Ended,
    /// A frame is too long or does not decode.
    #[error("the peer sent a malformed frame: {0}")]
    Malformed(String),
}

impl WireFault {
    /// Whether a request sent by this call may have run.
    ///
    /// ```
    /// use berylmount_model::RequestVerdict;
    /// use berylmount_wire::WireFault;
    ///
    /// assert_eq!(WireFault::Version(1).verdict(), RequestVerdict::NotRun);
    /// assert_eq!(WireFault::TimedOut.verdict(), RequestVerdict::MayHaveRun);
    /// ```
    pub fn verdict(&self) -> RequestVerdict {
        match self {
            Self::NotSent(_) | Self::Version(_) => RequestVerdict::NotRun,
            Self::Lost(_) | Self::TimedOut | Self::Ended | Self::Malformed(_) => {
                RequestVerdict::MayHaveRun
            }
        }
    }
}
