//! One connection.

use crate::{
    head::{parse_request, parse_response, ParsedHead},
    H1Fault, RequestHead, ResponseHead,
};
use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use std::{future, io, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;
/// Bytes that are read ahead while a peer is only watched for its leaving.
const WATCH_BYTES: usize = 64 * 1024;
/// First and further intervals of keep-alive probes on an idle connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is broken.
const PROBE_COUNT: u32 = 3;
/// Interim answers before the final one; no runner sends more than a few.
const MOST_INTERIM: usize = 8;
/// Time that written bytes may stay unacknowledged.
const ACK_TIMEOUT: Duration = Duration::from_millis(2500);

/// Bounds of a message's head.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    /// Bytes of the head at most.
    pub bytes: usize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self { bytes: 16 * 1024 }
    }
}

/// A connection with the bytes that were read and not yet used.
#[derive(Debug)]
pub struct H1Stream {
    socket: TcpStream,
    pub(crate) buffer: BytesMut,
}

impl H1Stream {
    /// Takes over a connected socket.
    ///
    /// Keep-alive probes and a bound on unacknowledged bytes break a connection
    /// that has gone silent.
    pub fn new(socket: TcpStream) -> Self {
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBE_COUNT);
        let options = SockRef::from(&socket);
        // The options only detect silence earlier; timeouts of the caller hold without them.
        let _ = options.set_tcp_keepalive(&probes);
        let _ = options.set_tcp_user_timeout(Some(ACK_TIMEOUT));
        let _ = socket.set_nodelay(true);
        let buffer = BytesMut::new();
        Self { socket, buffer }
    }

    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection; nothing was sent.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        match timeout(limit, TcpStream::connect(address)).await {
            Ok(socket) => Ok(Self::new(socket?)),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Reads more bytes; 0 at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        self.socket.read_buf(&mut self.buffer).await
    }

    /// Whether no byte was read that has not been used.
    pub fn is_buffer_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether an idle connection is open and silent.
    ///
    /// A peer that closed, or sent bytes that nobody waits for, makes it false.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0u8; 1];
        let silent = self.socket.try_read(&mut byte);
        self.buffer.is_empty()
            && matches!(silent, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the peer has closed or broken the connection.
    ///
    /// Bytes that arrive meanwhile are kept, up to a bound.
    pub async fn closed(&mut self) {
        loop {
            if self.buffer.len() >= WATCH_BYTES {
                return future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Reads a request head.
    ///
    /// # Errors
    ///
    /// Returns [`H1Fault::Closed`] when the connection ends before its first byte.
    pub async fn read_request(&mut self, limits: HeadLimits) -> Result<RequestHead, H1Fault> {
        self.read_head(limits, parse_request).await
    }

    /// Reads a response head; interim answers (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// Returns [`H1Fault::Closed`] when the connection ends before its first
    /// byte, and [`H1Fault::Malformed`] when interim answers don't end.
    pub async fn read_response(&mut self, limits: HeadLimits) -> Result<ResponseHead, H1Fault> {
        for _ in 0..=MOST_INTERIM {
            let head = self.read_head(limits, parse_response).await?;
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
        Err(H1Fault::Malformed("too many interim answers"))
    }

    /// Reads bytes until `parse` finds a head.
    async fn read_head<H>(
        &mut self,
        limits: HeadLimits,
        parse: fn(&[u8]) -> ParsedHead<H>,
    ) -> Result<H, H1Fault> {
        loop {
            if !self.buffer.is_empty() {
                if let Some((length, head)) = parse(&self.buffer)? {
                    if length > limits.bytes {
                        return Err(H1Fault::HeadTooLong);
                    }
                    let _ = self.buffer.split_to(length);
                    return Ok(head);
                }
                if self.buffer.len() > limits.bytes {
                    return Err(H1Fault::HeadTooLong);
                }
            }
            if self.fill().await? == 0 {
                return Err(match self.buffer.is_empty() {
                    true => H1Fault::Closed,
                    false => H1Fault::Truncated,
                });
            }
        }
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection; a part may have been written.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes).await
    }

    /// Writes `bytes` until the peer sends something.
    ///
    /// Returns how many were written: all of them, or fewer if the peer answers
    /// before it has read everything.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection; a part may have been written.
    pub async fn write_until_answered(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (mut reader, mut writer) = self.socket.split();
        let mut written = 0;
        self.buffer.reserve(READ_BYTES);
        while written < bytes.len() {
            tokio::select! {
                biased;
                count = writer.write(&bytes[written..]) => match count? {
                    0 => return Err(io::ErrorKind::WriteZero.into()),
                    count => written += count,
                },
                read = reader.read_buf(&mut self.buffer) => match read? {
                    0 => return Err(io::ErrorKind::ConnectionReset.into()),
                    _ => break,
                },
            }
        }
        Ok(written)
    }

    /// Ends the connection in an orderly way: sends its end, then drops what the
    /// peer still sends, for `most` at most.
    ///
    /// Closing at once while bytes arrive resets the connection, and the peer may
    /// lose an answer that it has not read.
    pub async fn shutdown(&mut self, most: Duration) {
        self.buffer.clear();
        // The peer may have left first; nothing is left to do then.
        if self.socket.shutdown().await.is_err() {
            return;
        }
        let rest = async {
            while matches!(self.fill().await, Ok(count) if count > 0) {
                self.buffer.clear();
            }
        };
        // The connection ends in any case.
        let _ = timeout(most, rest).await;
    }
}
