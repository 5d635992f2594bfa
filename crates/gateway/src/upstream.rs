//! One try of a request at a runner.

use crate::{
    clock::boot_ms,
    forward::{CallerCall, CallerSink},
    relay::relay_events,
    roster::{RunnerHandle, RunnerStream},
};
use berylmount_adapter::request_headers::{
    decode_notice, decode_reply, set_runner_headers, ForwardContext, RunnerReply,
};
use berylmount_fleet::{RouteKind, RouteRule};
use berylmount_h1::{
    push_headers, read_body, strip_hop_headers, BodyFraming, BodyReader, H1Fault, H1Stream,
    HeadLimits, ResponseHead,
};
use berylmount_telemetry::MetricSet;
use bytes::{BufMut, Bytes, BytesMut};
use http::{
    header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, EXPECT},
    HeaderMap, HeaderValue, StatusCode,
};
use std::{future::Future, rc::Rc, time::Duration};
use strum::IntoStaticStr;
use tokio::time::{timeout, timeout_at, Instant};

/// Time for a connection to a runner: some round trips within a region.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Bytes of an answer that is not a stream of events, at most.
const ANSWER_BYTES: usize = 8 << 20;
/// Part of the machine's memory that one answer may take, so that several
/// runners that send without end don't exhaust it.
const ANSWER_PART: u64 = 64;
/// Time to read the rest of an answer that nobody needs, so that its connection
/// can be used again.
const DISCARD_TIME: Duration = Duration::from_millis(100);
/// Answers to other requests that are skipped on one connection.
const MOST_FOREIGN: usize = 2;
/// Longest idle time of a connection that carries a request which may not be
/// repeated: a runner that drops idle connections early must not cost it.
const UNSAFE_IDLE: Duration = Duration::from_millis(800);

/// An answer that was read whole.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How one try ended.
#[derive(Debug, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum TryEnd {
    /// Nothing was sent.
    NotSent(&'static str),
    /// The runner states that it has not run the request.
    NotRun(StatusCode),
    /// The runner may have run it, and no usable answer came.
    MayHaveRun(&'static str),
    /// The runner answered whole, with success or failure. A failure has not been
    /// counted against it.
    Whole(WholeAnswer),
    /// A stream went to the caller up to its end.
    Streamed,
    /// A stream broke after some events went to the caller.
    Broken(&'static str),
    /// The caller left.
    CallerGone,
    /// Time ran out; the flag tells whether the request was sent.
    TimedOut(bool),
}

/// What a try needs beside the caller's request.
pub(crate) struct RunnerTry<'a> {
    pub(crate) call: &'a CallerCall,
    pub(crate) metrics: &'a MetricSet,
    pub(crate) route: &'a RouteRule,
    pub(crate) runner: &'a Rc<RunnerHandle>,
    pub(crate) order: ForwardContext<'a>,
    /// When the caller gets its final answer.
    pub(crate) end: Instant,
    /// Connections that this instance may hold to the runner.
    pub(crate) most_connections: u32,
    /// Bytes that an answer may have which is read whole.
    pub(crate) most_bytes: usize,
}

/// Bytes that an answer may have which is read whole, on a machine of so much
/// memory.
pub(crate) fn most_answer_bytes(memory_bytes: u64) -> usize {
    usize::try_from(memory_bytes / ANSWER_PART).map_or(ANSWER_BYTES, |most| most.min(ANSWER_BYTES))
}

/// What interrupts the wait for a runner.
enum Interrupt {
    CallerGone,
    TimedOut,
}

/// Waits for `work` while the caller stays and time is left.
async fn guarded<T>(
    caller: &mut H1Stream,
    end: Instant,
    work: impl Future<Output = T>,
) -> Result<T, Interrupt> {
    tokio::select! {
        biased;
        result = timeout_at(end, work) => result.map_err(|_| Interrupt::TimedOut),
        () = caller.closed() => Err(Interrupt::CallerGone),
    }
}

impl RunnerTry<'_> {
    /// Sends the request and brings its answer to the caller, or back whole.
    pub(crate) async fn run(
        &self,
        sink: &mut CallerSink<'_>,
        mut on_start: impl FnMut(),
    ) -> TryEnd {
        let stream = match guarded(sink.stream, self.end, self.connect()).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(reason)) => return TryEnd::NotSent(reason),
            Err(Interrupt::CallerGone) => return TryEnd::CallerGone,
            Err(Interrupt::TimedOut) => return TryEnd::TimedOut(false),
        };
        // It may have asked for rest while the connection was made.
        if self.runner.rest_left(boot_ms()).is_some() {
            return TryEnd::NotSent("the runner rests");
        }
        let end = self.exchange(stream, sink, &mut on_start).await;
        if let TryEnd::TimedOut(_) | TryEnd::CallerGone = end {
            return end;
        }
        let is_good = match &end {
            // Perhaps the request is at fault; the caller of this judges.
            TryEnd::Whole(answer) if answer.status.is_server_error() => return end,
            TryEnd::Whole(_) => true,
            TryEnd::Streamed => true,
            _ => false,
        };
        self.runner.note_end(is_good, boot_ms());
        end
    }

    /// A connection to the runner, kept or new.
    async fn connect(&self) -> Result<RunnerStream, &'static str> {
        let most_idle = most_idle(self.route);
        if let Some(kept) = self.runner.take_kept(boot_ms(), most_idle) {
            return Ok(kept);
        }
        let reserved = self.runner.reserve(self.most_connections);
        let open = reserved.ok_or("too many connections")?;
        let address = self.runner.record().address;
        match H1Stream::connect(address, CONNECT_TIME).await {
            Ok(stream) => Ok(RunnerStream::new(stream, open)),
            Err(_) => {
                self.runner.note_end(false, boot_ms());
                Err("no connection")
            }
        }
    }

    /// The bytes of the request for the runner.
    fn encode(&self) -> Bytes {
        let head = &self.call.head;
        let mut headers = head.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(EXPECT);
        let mut order = self.order.clone();
        order.caller_timeout = self.end.saturating_duration_since(Instant::now());
        set_runner_headers(&mut headers, &order);
        let body = &self.call.body;
        let declares_body = head.headers.contains_key(CONTENT_LENGTH);
        if declares_body || !body.is_empty() {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        let mut output = BytesMut::with_capacity(1024 + body.len());
        output.put_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
        push_headers(&mut output, &headers);
        output.put_slice(b"\r\n");
        output.put_slice(body);
        output.freeze()
    }

    async fn exchange(
        &self,
        mut stream: RunnerStream,
        sink: &mut CallerSink<'_>,
        on_start: &mut impl FnMut(),
    ) -> TryEnd {
        let bytes = self.encode();
        let answered = self.send(&mut stream.stream, &bytes);
        let (head, reply, all_sent) = match guarded(sink.stream, self.end, answered).await {
            Ok(Ok(found)) => found,
            Ok(Err(reason)) => return TryEnd::MayHaveRun(reason),
            Err(interrupt) => return interrupted(&interrupt),
        };
        let notice = decode_notice(head.status, &head.headers);
        self.runner.note_notice(notice, boot_ms());
        if let Some(load) = reply.load {
            self.runner.note_load(load, boot_ms());
        }
        if let Some(version) = reply.weights {
            self.runner.note_weights(version);
        }
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST && !reply.is_stamped;
        if reply.is_not_executed || is_misdirected {
            let status = head.status;
            if all_sent {
                let rest = self.finish(stream, head);
                // Only the connection's further use depends on the rest.
                let _ = timeout(DISCARD_TIME, rest).await;
            }
            return TryEnd::NotRun(status);
        }
        if head.headers.contains_key(CONTENT_ENCODING) {
            return TryEnd::MayHaveRun("the answer has an encoding");
        }
        if head.status.is_success() && !reply.is_stamped {
            return TryEnd::MayHaveRun("the answer is not the runner's");
        }
        if self.route.kind == RouteKind::Streaming && is_event_stream(&head) {
            return relay_events(self, stream, head, sink, on_start).await;
        }
        on_start();
        let Ok(framing) = head.framing(&self.call.head.method) else {
            return TryEnd::MayHaveRun("the answer's framing is ambiguous");
        };
        let body = read_body(
            &mut stream.stream,
            BodyReader::new(framing),
            self.most_bytes,
        );
        let body = match guarded(sink.stream, self.end, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return TryEnd::MayHaveRun("the answer broke off"),
            Err(interrupt) => return interrupted(&interrupt),
        };
        let answer = WholeAnswer {
            status: head.status,
            headers: answer_headers(&head),
            body,
        };
        if all_sent {
            self.keep(stream, &head, framing);
        }
        TryEnd::Whole(answer)
    }

    /// Sends the request and reads the head of its answer; also returns whether
    /// all was sent by then. Answers to other requests are skipped, also those
    /// that come while the request is being sent.
    async fn send(
        &self,
        stream: &mut H1Stream,
        bytes: &[u8],
    ) -> Result<(ResponseHead, RunnerReply, bool), &'static str> {
        let mut sent = 0;
        for _ in 0..=MOST_FOREIGN {
            let written = stream.write_until_answered(&bytes[sent..]).await;
            sent += written.map_err(|_| "connection broke while sending")?;
            let head = stream.read_response(HeadLimits::default()).await;
            let head = head.map_err(|fault| match fault {
                H1Fault::Malformed(_) | H1Fault::HeadTooLong => "the answer is malformed",
                _ => "the connection broke before the answer",
            })?;
            let reply = decode_reply(&head.headers);
            if self.is_own(&head, &reply) {
                return Ok((head, reply, sent == bytes.len()));
            }
            self.skip(stream, &head).await?;
        }
        Err("only answers to other requests came")
    }

    /// Whether an answer is the one to this request.
    fn is_own(&self, head: &ResponseHead, reply: &RunnerReply) -> bool {
        match &reply.request_id {
            Some(id) => *id == self.call.request.id,
            // An answer that can't be told from a foreign one, unless it refuses.
            None => self.call.request.id.is_empty() || !head.status.is_success(),
        }
    }

    /// Reads the body of an answer to another request.
    async fn skip(&self, stream: &mut H1Stream, head: &ResponseHead) -> Result<(), &'static str> {
        let framing = head.framing(&self.call.head.method);
        let framing = framing.map_err(|_| "a foreign answer is malformed")?;
        let body = read_body(stream, BodyReader::new(framing), self.most_bytes);
        body.await.map_err(|_| "a foreign answer broke off")?;
        log::warn!(
            target: "upstream",
            request = self.call.request.id, runner = self.order.runner;
            "answer to another request skipped"
        );
        Ok(())
    }

    /// Reads the rest of an answer and keeps its connection.
    async fn finish(&self, mut stream: RunnerStream, head: ResponseHead) {
        let Ok(framing) = head.framing(&self.call.head.method) else {
            return;
        };
        let rest = read_body(
            &mut stream.stream,
            BodyReader::new(framing),
            self.most_bytes,
        );
        if rest.await.is_ok() {
            self.keep(stream, &head, framing);
        }
    }

    /// Keeps the connection of an answer that was read whole.
    pub(crate) fn keep(&self, stream: RunnerStream, head: &ResponseHead, framing: BodyFraming) {
        if head.wants_close()
            || framing == BodyFraming::UntilClose
            || !stream.stream.is_buffer_empty()
        {
            return;
        }
        self.runner.keep(stream, idle_limit(head), boot_ms());
    }
}

/// How long a connection may have been idle that carries a request of a route.
pub(crate) fn most_idle(route: &RouteRule) -> Duration {
    match route.is_retryable() {
        true => Duration::MAX,
        false => UNSAFE_IDLE,
    }
}

fn interrupted(interrupt: &Interrupt) -> TryEnd {
    match interrupt {
        Interrupt::CallerGone => TryEnd::CallerGone,
        Interrupt::TimedOut => TryEnd::TimedOut(true),
    }
}

/// Headers of a runner's answer that go to the caller.
pub(crate) fn answer_headers(head: &ResponseHead) -> HeaderMap {
    let mut headers = head.headers.clone();
    strip_hop_headers(&mut headers);
    headers
}

/// Whether the body is a stream of events.
fn is_event_stream(head: &ResponseHead) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE);
    let is_events = |v: &HeaderValue| v.as_bytes().starts_with(b"text/event-stream");
    head.status == StatusCode::OK && content_type.is_some_and(is_events)
}

/// How long the runner keeps an idle connection, if it says so.
fn idle_limit(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = value
        .split(',')
        .filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
