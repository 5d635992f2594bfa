//! Relays an event stream to the caller.

use crate::{
    clock::boot_ms,
    event_split::{EventBlock, EventSplitter},
    forward::CallerSink,
    responses::encode_head,
    runner_registry::RunnerExchange,
    upstream::{is_tunnel_lost, response_headers, AttemptOutcome, RunnerAttempt, PATH_LOST},
};
use berylmount_h1::ResponseHead;
use berylmount_telemetry::HistogramMetric;
use bytes::{BufMut, BytesMut};
use http::{header::TRANSFER_ENCODING, HeaderMap, HeaderValue, StatusCode};
use std::{future::Future, pin::Pin};
use tokio::time::timeout_at;

/// Why writing to the caller failed.
enum RelayError {
    CallerGone,
    TimedOut,
}

/// Relays complete events as they arrive.
///
/// The head is sent with the first event, so that a failure before it can still be
/// retried or reported with an error status.
pub(crate) async fn relay_events(
    attempt: &RunnerAttempt<'_>,
    mut exchange: RunnerExchange,
    head: ResponseHead,
    sink: &mut CallerSink<'_>,
    mut lost: Pin<&mut impl Future<Output = ()>>,
    on_first_event: &mut impl FnMut(),
) -> AttemptOutcome {
    let mut splitter = EventSplitter::default();
    let mut memory = attempt.begin_memory();
    loop {
        let chunk = tokio::select! {
            biased;
            chunk = timeout_at(attempt.deadline, exchange.http.next_data()) => chunk,
            () = sink.gone() => return AttemptOutcome::CallerGone,
            () = lost.as_mut() => return stream_failure(sink, PATH_LOST),
        };
        let chunk = match chunk {
            Err(_) => return AttemptOutcome::TimedOut(true),
            Ok(Err(fault)) if !sink.is_started && !is_tunnel_lost(&fault) => {
                return AttemptOutcome::Disconnected("the stream broke off");
            }
            Ok(Err(_)) => return stream_failure(sink, "the stream broke off"),
            Ok(Ok(chunk)) => chunk,
        };
        exchange.note_received();
        let Some(chunk) = chunk else {
            if !splitter.is_empty() {
                return stream_failure(sink, "the stream ended inside an event");
            }
            if !sink.is_started {
                return AttemptOutcome::MayHaveRun("the stream ended without an event");
            }
            attempt.return_connection(exchange, &head);
            return match send_end(attempt, sink).await {
                Ok(()) => AttemptOutcome::Streamed,
                Err(RelayError::CallerGone) => AttemptOutcome::CallerGone,
                Err(RelayError::TimedOut) => AttemptOutcome::TimedOut(true),
            };
        };
        let block = splitter.push(&chunk);
        let has_memory = memory.resize(splitter.pending_len());
        if let Some(block) = block {
            // A comment is not an event and does not show that prefill has ended.
            if block.last_id.is_some() {
                on_first_event();
            }
            match send_events(attempt, sink, &head, &block).await {
                Ok(()) => {}
                Err(RelayError::CallerGone) => return AttemptOutcome::CallerGone,
                Err(RelayError::TimedOut) => return AttemptOutcome::TimedOut(true),
            }
        }
        if splitter.is_overlong() {
            return stream_failure(sink, "an event is too long");
        }
        if !has_memory {
            return stream_failure(sink, "an event exceeds its share of the memory");
        }
    }
}

/// Returns the outcome of a failed stream, which depends on whether events have been
/// sent to the caller.
fn stream_failure(sink: &CallerSink<'_>, reason: &'static str) -> AttemptOutcome {
    match sink.is_started {
        true => AttemptOutcome::StreamFailed(reason),
        false => AttemptOutcome::MayHaveRun(reason),
    }
}

/// Writes complete events, preceded by the head if it has not been sent.
async fn send_events(
    attempt: &RunnerAttempt<'_>,
    sink: &mut CallerSink<'_>,
    head: &ResponseHead,
    block: &EventBlock,
) -> Result<(), RelayError> {
    let mut output = BytesMut::new();
    if !sink.is_started {
        sink.closes |= attempt.state.is_draining();
        output = chunked_head(head.status, response_headers(head), sink.closes);
    }
    output.put_slice(format!("{:x}\r\n", block.bytes.len()).as_bytes());
    output.put_slice(&block.bytes);
    output.put_slice(b"\r\n");
    sink.is_started = true;
    write(attempt, sink, &output).await?;
    let now_ms = boot_ms();
    if sink.events == 0 {
        sink.first_event_ms = now_ms;
    } else {
        let gap_ms = now_ms.saturating_sub(sink.sent_at_ms);
        sink.longest_pause_ms = sink.longest_pause_ms.max(gap_ms);
        let gap_s = gap_ms as f64 / 1000.0;
        attempt
            .state
            .metrics
            .observe(HistogramMetric::TokenGapSeconds, "", gap_s);
    }
    sink.sent_at_ms = now_ms;
    sink.events += 1;
    if block.last_id.is_some() {
        sink.last_event = block.last_id;
    }
    Ok(())
}

fn chunked_head(status: StatusCode, mut headers: HeaderMap, closes: bool) -> BytesMut {
    headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    encode_head(status, &mut headers, closes)
}

async fn send_end(
    attempt: &RunnerAttempt<'_>,
    sink: &mut CallerSink<'_>,
) -> Result<(), RelayError> {
    write(attempt, sink, b"0\r\n\r\n").await
}

async fn write(
    attempt: &RunnerAttempt<'_>,
    sink: &mut CallerSink<'_>,
    bytes: &[u8],
) -> Result<(), RelayError> {
    match timeout_at(attempt.deadline, sink.write(bytes)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(RelayError::CallerGone),
        Err(_) => Err(RelayError::TimedOut),
    }
}
