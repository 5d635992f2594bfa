//! Encodings of what instances of two builds exchange, for the recorded cases in `tests/wire`.
//!
//! A case that was recorded with one build shows whether a later one still decodes it to the
//! same value, and encodes that value to the same bytes.

use crate::{
    cache_stores::StoreSnapshot,
    crash_parts::stored::PartRecord,
    instances::ListedEntry,
    peer_extensions::PeerExtension,
    peer_link::{decode, decode_first, encode, PullFault, PullReply, PullRequest, TunnelReply},
    peers::PeerMessage,
    stream_versions::stored::StreamRecord,
};
use berylmount_policy::{
    duty_lease::LeaseRecord,
    software_versions::{UsedVersions, VersionHistory},
};
use serde::{de::DeserializeOwned, Serialize};
use serde_json::Value;
use std::fmt::Debug;
use strum::{Display, EnumString};

/// What is encoded.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum WireKind {
    /// Messages of a datagram.
    Datagram,
    /// A message of a datagram whose kind was added after the first format.
    Extension,
    /// A request over a connection.
    CopyRequest,
    /// The reply with changes of a watched kind.
    ChangesReply,
    /// The reply with the contents of a store.
    StoreReply,
    /// The reply with the history of software versions.
    HistoryReply,
    /// The reply to a request for a tunnel.
    TunnelReply,
    /// The object of an instance.
    InstanceObject,
    /// The object of a lease.
    LeaseObject,
    /// An object of blamed parts.
    PartObject,
    /// The object of the software versions.
    SoftwareObject,
    /// An object of used software versions.
    UsedSoftwareObject,
    /// An object of begun streams.
    StreamsObject,
}

/// A value that instances exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WireValue {
    /// Its encoding.
    pub bytes: Vec<u8>,
    /// Its text for snapshots.
    pub text: String,
}

/// Why a value has no encoding, or an encoding no value.
#[derive(Debug, thiserror::Error)]
pub enum WireFault {
    /// A JSON text does not describe a value of the kind.
    #[error("malformed JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A message does not decode.
    #[error("{0}")]
    Message(String),
}

impl From<PullFault> for WireFault {
    fn from(fault: PullFault) -> Self {
        Self::Message(fault.to_string())
    }
}

/// A value as JSON text, or encoded.
#[derive(Clone, Copy, Debug)]
pub enum WireInput<'a> {
    /// JSON text, whose fields are named as in the code.
    Json(&'a str),
    /// The encoding that instances exchange.
    Encoded(&'a [u8]),
}

impl WireKind {
    /// Reads a value and encodes it again.
    ///
    /// ```
    /// use berylmount_gateway::wire_cases::{WireInput, WireKind};
    ///
    /// let value = WireKind::CopyRequest.read(WireInput::Json("\"Software\"")).unwrap();
    /// assert_eq!((value.bytes, value.text.as_str()), (vec![2], "Software\n"));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns a [`WireFault`] if the input is no value of the kind.
    pub fn read(self, input: WireInput<'_>) -> Result<WireValue, WireFault> {
        match self {
            Self::Datagram => read_datagram(input),
            Self::Extension => read_extension(input),
            Self::CopyRequest => read_message::<PullRequest>(input),
            Self::ChangesReply => read_message::<PullReply>(input),
            Self::StoreReply => read_message::<Option<StoreSnapshot>>(input),
            Self::HistoryReply => read_message::<Option<(u64, VersionHistory)>>(input),
            Self::TunnelReply => read_message::<TunnelReply>(input),
            Self::InstanceObject => read_object::<ListedEntry>(input),
            Self::LeaseObject => read_object::<LeaseRecord>(input),
            Self::PartObject => read_object::<PartRecord>(input),
            Self::SoftwareObject => read_object::<VersionHistory>(input),
            Self::UsedSoftwareObject => read_object::<UsedVersions>(input),
            Self::StreamsObject => read_object::<StreamRecord>(input),
        }
    }
}

fn read_datagram(input: WireInput<'_>) -> Result<WireValue, WireFault> {
    let messages: Vec<PeerMessage> = match input {
        WireInput::Json(text) => serde_json::from_str(text)?,
        WireInput::Encoded(mut rest) => {
            let mut messages = Vec::new();
            while !rest.is_empty() {
                let (message, length) = decode_first(rest)?;
                messages.push(message);
                rest = &rest[length..];
            }
            messages
        }
    };
    let encoded: Result<Vec<Vec<u8>>, PullFault> = messages.iter().map(encode).collect();
    Ok(WireValue {
        bytes: encoded?.concat(),
        text: format!("{messages:#?}\n"),
    })
}

fn read_extension(input: WireInput<'_>) -> Result<WireValue, WireFault> {
    let unknown = || WireFault::Message("no known kind of extension".to_owned());
    let extension: PeerExtension = match input {
        WireInput::Json(text) => serde_json::from_str(text)?,
        WireInput::Encoded(bytes) => match decode(bytes)? {
            PeerMessage::Extended(frame) => PeerExtension::decode(&frame)?.ok_or_else(unknown)?,
            _ => return Err(unknown()),
        },
    };
    Ok(WireValue {
        bytes: encode(&PeerMessage::Extended(extension.encode()?))?,
        text: format!("{extension:#?}\n"),
    })
}

fn read_message<M>(input: WireInput<'_>) -> Result<WireValue, WireFault>
where
    M: Debug + DeserializeOwned + Serialize,
{
    let message: M = match input {
        WireInput::Json(text) => serde_json::from_str(text)?,
        WireInput::Encoded(bytes) => decode(bytes)?,
    };
    Ok(WireValue {
        bytes: encode(&message)?,
        text: format!("{message:#?}\n"),
    })
}

/// Objects are stored as JSON.
fn read_object<O>(input: WireInput<'_>) -> Result<WireValue, WireFault>
where
    O: Debug + DeserializeOwned + Serialize,
{
    let object: O = match input {
        WireInput::Json(text) => serde_json::from_str(text)?,
        WireInput::Encoded(bytes) => serde_json::from_slice(bytes)?,
    };
    let value: Value = serde_json::to_value(&object)?;
    Ok(WireValue {
        bytes: serde_json::to_vec(&value)?,
        text: format!("{object:#?}\n"),
    })
}
