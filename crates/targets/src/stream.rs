//! One engine stream as its lines come in.
//!
//! An answer counts as whole only after an end line whose count and digest
//! agree with the tokens that came. A line out of order, a cut connection or
//! silence is a fault, after which the stream can be resumed at its offset.

use crate::{
    fault::{FaultKind, RejectReason, TargetFault},
    http::read_line,
};
use berylmount_model::{DigestChain, RequestVerdict, VersionName};
use serde::Deserialize;
use std::{fmt, io::BufReader};
use ureq::BodyReader;

/// One thing that an engine says about a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// The engine is alive and has nothing new; a chance to give the run up.
    Waiting,
    /// The engine has begun the run.
    Admitted {
        /// Prompt tokens that it found in its own cache.
        cached_tokens: u32,
        /// Prompt tokens in all.
        prompt_tokens: u32,
        /// The weight version of the run.
        version: VersionName,
    },
    /// One token of the answer.
    Token {
        /// The token's place in the answer, from zero.
        offset: u32,
        /// The token.
        text: String,
    },
    /// The answer is whole.
    End {
        /// Tokens in the answer.
        count: u32,
        /// The [`DigestChain`] over all tokens, in hexadecimal.
        digest: String,
    },
}

/// A line as it is sent.
#[derive(Debug, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum StreamLine {
    Waiting,
    Admitted {
        cached_tokens: u32,
        prompt_tokens: u32,
        version: VersionName,
    },
    Token {
        offset: u32,
        text: String,
    },
    End {
        count: u32,
        digest: String,
    },
    Error {
        verdict: RequestVerdict,
        reason: String,
    },
}

/// An open stream of an engine.
pub struct EngineStream {
    reader: BufReader<BodyReader<'static>>,
    line: Vec<u8>,
    offset: u32,
    /// The digest so far, known only to a stream read from its start.
    digest: Option<DigestChain>,
    ended: bool,
}

impl fmt::Debug for EngineStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "EngineStream at offset {}", self.offset)
    }
}

impl EngineStream {
    /// A stream whose next token is at `offset`.
    pub(crate) fn new(reader: BodyReader<'static>, offset: u32) -> Self {
        Self {
            reader: BufReader::new(reader),
            line: Vec::new(),
            offset,
            digest: (offset == 0).then(DigestChain::default),
            ended: false,
        }
    }

    /// The offset of the next token; resume here after a fault.
    pub fn offset(&self) -> u32 {
        self.offset
    }

    /// Waits for the next event; none after the end.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when the engine is silent for longer than the
    /// gap limit, the connection ends before the answer does, the engine
    /// reports an error, or a line breaks the protocol.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, TargetFault> {
        if self.ended {
            return Ok(None);
        }
        if !read_line(&mut self.reader, &mut self.line)? {
            let detail = "the stream ended before its last line";
            return Err(TargetFault::after_send(FaultKind::Cut, detail));
        }
        let line: StreamLine = serde_json::from_slice(&self.line)
            .map_err(|e| TargetFault::bad_answer(&e.to_string()))?;
        self.check(line).map(Some)
    }

    /// Checks a line against what came before.
    fn check(&mut self, line: StreamLine) -> Result<StreamEvent, TargetFault> {
        match line {
            StreamLine::Waiting => Ok(StreamEvent::Waiting),
            StreamLine::Admitted {
                cached_tokens,
                prompt_tokens,
                version,
            } => {
                if cached_tokens > prompt_tokens {
                    return Err(TargetFault::bad_answer("more tokens cached than asked"));
                }
                Ok(StreamEvent::Admitted {
                    cached_tokens,
                    prompt_tokens,
                    version,
                })
            }
            StreamLine::Token { offset, text } => {
                if offset != self.offset {
                    return Err(TargetFault::bad_answer("a token is out of order"));
                }
                self.offset += 1;
                if let Some(digest) = &mut self.digest {
                    digest.add(&text);
                }
                Ok(StreamEvent::Token { offset, text })
            }
            StreamLine::End { count, digest } => {
                let own = self.digest.take().map(DigestChain::finish);
                if count != self.offset || own.is_some_and(|own| own != digest) {
                    return Err(TargetFault::bad_answer("count or digest differs"));
                }
                self.ended = true;
                Ok(StreamEvent::End { count, digest })
            }
            StreamLine::Error { verdict, reason } => Err(TargetFault {
                verdict,
                kind: FaultKind::Rejected(RejectReason::from_word(&reason)),
                detail: "the engine ended the stream".to_owned(),
            }),
        }
    }
}
