//! Puts one answer together from the replies of dispatch processes.
//!
//! Pure bookkeeping, without I/O. Replies come from one call after another, so
//! they may be late, repeated, or of another attempt or request. An answer is
//! whole only when count and digest of the tokens taken in agree with the
//! engine's.

use berylmount_model::{AttemptId, CallRefusal, DigestChain};
use berylmount_wire::{StartedRun, WorkReply};

/// What one reply means for the answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AssemblyStep<'a> {
    /// A run started; it replaces every token before it.
    Started(&'a StartedRun),
    /// The run that is known already was told again.
    StartedAgain(&'a StartedRun),
    /// The next token.
    Token {
        /// Its place in the answer.
        offset: u64,
        /// The token.
        text: &'a str,
    },
    /// The answer is whole.
    Whole {
        /// Tokens in the answer.
        count: u64,
        /// Digest of all tokens, in hexadecimal.
        digest: &'a str,
    },
    /// A frame of another attempt, or one that was taken in before.
    Stale,
    /// The end of another attempt.
    StaleEnd,
    /// The request is refused.
    Refused(&'a CallRefusal),
    /// The call can't be relied on any more; the answer may be resumed.
    Lost(&'static str),
}

/// One answer on its way, as far as it was taken in.
///
/// ```
/// use berylmount_entry::{AnswerAssembly, AssemblyStep};
/// use berylmount_model::{AttemptId, RequestId};
/// use berylmount_wire::WorkReply;
///
/// let attempt = AttemptId { request: RequestId::new(7, 9), attempt: 0 };
/// let mut assembly = AnswerAssembly::new(attempt);
/// let reply = WorkReply::Token { attempt, offset: 0, text: "early".to_owned() };
/// assert_eq!(assembly.take(&reply), AssemblyStep::Stale);
/// ```
#[derive(Clone, Debug)]
pub struct AnswerAssembly {
    attempt: AttemptId,
    started: Option<StartedRun>,
    offset: u64,
    digest: DigestChain,
}

impl AnswerAssembly {
    /// An empty answer of `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            started: None,
            offset: 0,
            digest: DigestChain::default(),
        }
    }

    /// The attempt whose tokens are taken in.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// The next token wanted.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// The last run that started, perhaps of an earlier attempt.
    pub fn started(&self) -> Option<&StartedRun> {
        self.started.as_ref()
    }

    /// Forgets the tokens of an earlier attempt.
    pub fn restart(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        self.offset = 0;
        self.digest = DigestChain::default();
    }

    /// Takes one reply in and says what it means.
    pub fn take<'a>(&mut self, reply: &'a WorkReply) -> AssemblyStep<'a> {
        match reply {
            WorkReply::Started(run) => self.take_start(run),
            WorkReply::Token {
                attempt,
                offset,
                text,
            } => self.take_token(*attempt, *offset, text),
            WorkReply::End {
                attempt,
                count,
                digest,
            } => self.take_end(*attempt, *count, digest),
            WorkReply::Refused(refusal) => AssemblyStep::Refused(refusal),
            WorkReply::Answer(_) => AssemblyStep::Lost("a service's answer to a prompt"),
        }
    }

    /// Takes in the start of a run; a later attempt starts from token zero.
    fn take_start<'a>(&mut self, run: &'a StartedRun) -> AssemblyStep<'a> {
        let next = run.attempt;
        if next.request != self.attempt.request || next.attempt < self.attempt.attempt {
            return AssemblyStep::Stale;
        }
        if next != self.attempt {
            self.restart(next);
        }
        let known = self.is_started();
        self.started = Some(run.clone());
        if known {
            return AssemblyStep::StartedAgain(run);
        }
        AssemblyStep::Started(run)
    }

    /// Whether the start of the attempt under way was told.
    fn is_started(&self) -> bool {
        let run = self.started.as_ref();
        run.is_some_and(|run| run.attempt == self.attempt)
    }

    /// Takes in one token; drops those of another attempt.
    ///
    /// A token before the start of its run is dropped too: the start would tell
    /// the caller to forget it, although it was counted.
    fn take_token<'a>(
        &mut self,
        attempt: AttemptId,
        offset: u64,
        text: &'a str,
    ) -> AssemblyStep<'a> {
        if attempt != self.attempt || offset < self.offset || !self.is_started() {
            return AssemblyStep::Stale;
        }
        if offset > self.offset {
            return AssemblyStep::Lost("a token is missing");
        }
        self.digest.add(text);
        self.offset += 1;
        AssemblyStep::Token { offset, text }
    }

    /// Checks that the answer is whole.
    fn take_end<'a>(
        &mut self,
        attempt: AttemptId,
        count: u64,
        digest: &'a str,
    ) -> AssemblyStep<'a> {
        if attempt != self.attempt {
            return AssemblyStep::StaleEnd;
        }
        if count != self.offset || self.digest.clone().finish() != digest {
            return AssemblyStep::Lost("count or digest differ");
        }
        AssemblyStep::Whole { count, digest }
    }
}
