//! One call: frames in both directions over an h2 stream.
//!
//! Two tasks on the wire thread move frames between the stream and two bounded
//! channels. Other threads use [`PeerCall`], which blocks on the channels.
//! When a channel is full the task stops, h2's window fills, and the peer's
//! sending stops in turn.

use crate::{
    codec::{with_length, FrameSplitter},
    decode_frame, encode_frame,
    runtime::ConnectionUse,
    WireConfig, WireFault,
};
use bytes::Bytes;
use h2::{Reason, RecvStream, SendStream};
use serde::{de::DeserializeOwned, Serialize};
use std::{future::poll_fn, time::Duration};
use tokio::{
    runtime::Handle,
    sync::{mpsc, Mutex},
    time,
};

/// What a call's sending task is told.
#[derive(Debug)]
pub(crate) enum OutboundItem {
    /// Send this frame's value.
    Frame(Bytes),
    /// End the direction in good order.
    Finish,
}

/// One call between two processes.
///
/// Dropping it without [`PeerCall::finish`] resets the stream, so that the
/// peer sees a lost call and never a whole one.
#[derive(Debug)]
pub struct PeerCall {
    /// Enters the wire thread's runtime.
    handle: Handle,
    /// Frames to send.
    outbound: mpsc::Sender<OutboundItem>,
    /// Frames that came. One thread receives at a time.
    inbound: Mutex<mpsc::Receiver<Result<Bytes, WireFault>>>,
}

impl PeerCall {
    /// Starts the tasks that serve a stream.
    pub(crate) fn start(
        handle: &Handle,
        config: &WireConfig,
        send: SendStream<Bytes>,
        in_use: ConnectionUse,
        receive: impl std::future::Future<Output = Result<RecvStream, WireFault>> + Send + 'static,
    ) -> Self {
        let (outbound, to_send) = mpsc::channel(config.frames_waiting);
        let (received, inbound) = mpsc::channel(config.frames_waiting);
        let sending_use = in_use.clone();
        handle.spawn(async move {
            let _in_use = sending_use;
            send_frames(send, to_send).await;
        });
        handle.spawn(async move {
            let _in_use = in_use;
            match receive.await {
                Ok(stream) => receive_frames(stream, &received).await,
                Err(fault) => {
                    let _ = received.send(Err(fault)).await;
                }
            }
        });
        Self {
            handle: handle.clone(),
            outbound,
            inbound: Mutex::new(inbound),
        }
    }

    /// Sends one message, waiting up to `timeout` for room.
    ///
    /// # Errors
    ///
    /// Returns [`WireFault::TimedOut`] if the peer takes nothing,
    /// [`WireFault::Lost`] if the stream is gone.
    pub fn send<M: Serialize>(&self, message: &M, timeout: Duration) -> Result<(), WireFault> {
        let item = OutboundItem::Frame(encode_frame(message)?);
        let sent = self.handle.block_on(async {
            // `send_timeout` starts its timer when called, inside the runtime.
            self.outbound.send_timeout(item, timeout).await
        });
        sent.map_err(|e| match e {
            mpsc::error::SendTimeoutError::Timeout(_) => WireFault::TimedOut,
            mpsc::error::SendTimeoutError::Closed(_) => {
                WireFault::Lost("the stream is closed".to_owned())
            }
        })
    }

    /// Receives the next message, waiting up to `timeout` for it.
    ///
    /// # Errors
    ///
    /// Returns [`WireFault::Ended`] after the peer's last message,
    /// [`WireFault::TimedOut`] if none comes in time, and the fault of the
    /// stream otherwise.
    pub fn receive<M: DeserializeOwned>(&self, timeout: Duration) -> Result<M, WireFault> {
        let item = self.handle.block_on(async {
            let mut inbound = self.inbound.lock().await;
            time::timeout(timeout, inbound.recv()).await
        });
        match item {
            Err(_) => Err(WireFault::TimedOut),
            Ok(None) => Err(WireFault::Ended),
            Ok(Some(frame)) => decode_frame(&frame?),
        }
    }

    /// Whether the peer has dropped the call or the connection is gone.
    pub fn is_closed(&self) -> bool {
        self.outbound.is_closed()
    }

    /// Ends this direction in good order.
    pub fn finish(self) {
        let outbound = self.outbound.clone();
        self.handle.spawn(async move {
            let _ = outbound.send(OutboundItem::Finish).await;
        });
    }
}

/// Sends frames until the caller finishes or drops the call.
async fn send_frames(mut send: SendStream<Bytes>, mut to_send: mpsc::Receiver<OutboundItem>) {
    loop {
        let item = tokio::select! {
            item = to_send.recv() => item,
            _ = poll_fn(|cx| send.poll_reset(cx)) => return,
        };
        match item {
            Some(OutboundItem::Frame(value)) => {
                if send_bytes(&mut send, with_length(&value)).await.is_err() {
                    return;
                }
            }
            Some(OutboundItem::Finish) => {
                let _ = send.send_data(Bytes::new(), true);
                return;
            }
            None => {
                send.send_reset(Reason::CANCEL);
                return;
            }
        }
    }
}

/// Sends `data` as the peer's window allows.
async fn send_bytes(send: &mut SendStream<Bytes>, mut data: Bytes) -> Result<(), WireFault> {
    let lost = |e: h2::Error| WireFault::Lost(e.to_string());
    while !data.is_empty() {
        send.reserve_capacity(data.len());
        let granted = poll_fn(|cx| send.poll_capacity(cx)).await;
        let room = match granted {
            None => return Err(WireFault::Lost("the stream is closed".to_owned())),
            Some(room) => room.map_err(lost)?,
        };
        let part = data.split_to(room.min(data.len()));
        send.send_data(part, false).map_err(lost)?;
    }
    Ok(())
}

/// Receives frames until the stream ends or nobody wants them.
async fn receive_frames(mut stream: RecvStream, received: &mpsc::Sender<Result<Bytes, WireFault>>) {
    let mut splitter = FrameSplitter::default();
    while let Some(data) = stream.data().await {
        let data = match data {
            Ok(data) => data,
            Err(e) => {
                let _ = received.send(Err(stream_fault(&e))).await;
                return;
            }
        };
        splitter.add(&data);
        if pass_frames(&mut splitter, received).await.is_err() {
            return;
        }
        let _ = stream.flow_control().release_capacity(data.len());
    }
    if splitter.is_partial() {
        let fault = WireFault::Lost("the stream ended within a frame".to_owned());
        let _ = received.send(Err(fault)).await;
    }
}

/// Passes on every whole frame; an error says that the stream is done for.
async fn pass_frames(
    splitter: &mut FrameSplitter,
    received: &mpsc::Sender<Result<Bytes, WireFault>>,
) -> Result<(), ()> {
    loop {
        match splitter.next_frame() {
            Ok(None) => return Ok(()),
            Ok(Some(frame)) => received.send(Ok(frame)).await.map_err(|_| ())?,
            Err(fault) => {
                let _ = received.send(Err(fault)).await;
                return Err(());
            }
        }
    }
}

/// The fault that an h2 error on a stream stands for.
pub(crate) fn stream_fault(error: &h2::Error) -> WireFault {
    if error.reason() == Some(Reason::REFUSED_STREAM) {
        return WireFault::NotSent("the peer refused the stream".to_owned());
    }
    WireFault::Lost(error.to_string())
}
