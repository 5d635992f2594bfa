//! A buffered HTTP/1.1 connection.

use crate::{
    frames::FrameReader,
    head::{parse_request, parse_response, ParsedHead},
    H1Fault, RequestHead, ResponseHead,
};
use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use std::{io, mem::MaybeUninit, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt, Interest},
    net::TcpStream,
    time::timeout,
};

/// Minimum free space in the buffer for a read, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Bytes buffered while waiting for the peer to close the connection, beyond which nothing more is
/// read.
const MAX_WATCH_BYTES: usize = 4 * 1024;

/// Number of unanswered probes after which the connection is reset where no time limit for
/// acknowledgements is set.
const PROBE_COUNT: u32 = 3;

/// The side of a connection that the peer takes, which decides how long it may be silent.
///
/// The time limit for acknowledgements also decides when keep-alive probes give up, and when a
/// peer that reads nothing is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerRole {
    /// The peer sends requests. Nobody else can receive its responses, and the time limits of
    /// its requests end what a dead one leaves behind.
    Client,
    /// The peer responds. A request that hangs at a dead one could be sent elsewhere.
    Server,
}

impl PeerRole {
    /// Returns the idle time before the first TCP keep-alive probe, and between probes.
    fn probe_interval(self) -> Duration {
        match self {
            Self::Client => Duration::from_secs(5),
            Self::Server => Duration::from_secs(1),
        }
    }

    /// Returns the time limit for the peer to acknowledge written bytes and probes.
    fn ack_timeout(self) -> Duration {
        match self {
            Self::Client => Duration::from_secs(10),
            Self::Server => Duration::from_millis(2500),
        }
    }
}

/// Why a connection is no longer watched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchEnd {
    /// The peer has closed the connection, or it has failed.
    Closed,
    /// The peer sends more than is buffered.
    Full,
}

/// Limits of a message head.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    /// Maximum size of the head in bytes.
    pub bytes: usize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self { bytes: 16 * 1024 }
    }
}

/// A connection with a buffer of bytes that were read and not yet consumed.
#[derive(Debug)]
pub struct H1Stream {
    socket: TcpStream,
    pub(crate) buffer: BytesMut,
    /// Decodes what is received if the connection is a tunnel.
    frames: Option<FrameReader>,
}

/// Resets a connection whose peer no longer responds, by keep-alive probes and a time limit for
/// acknowledgements.
pub fn detect_dead_peer(socket: &TcpStream, role: PeerRole) {
    let probes = TcpKeepalive::new()
        .with_time(role.probe_interval())
        .with_interval(role.probe_interval())
        .with_retries(PROBE_COUNT);
    let options = SockRef::from(socket);
    // Errors are ignored: the options only detect a dead peer earlier than the timeouts
    // of the calling code.
    let _ = options.set_tcp_keepalive(&probes);
    let _ = options.set_tcp_user_timeout(Some(role.ack_timeout()));
    let _ = socket.set_nodelay(true);
}

/// Reads more bytes into `buffer` and returns their number, 0 at the end of the stream. Of a
/// tunnel, only the bytes of the server count.
async fn fill_buffer(
    reader: &mut (impl AsyncRead + Unpin),
    frames: &mut Option<FrameReader>,
    buffer: &mut BytesMut,
) -> io::Result<usize> {
    let Some(frames) = frames else {
        buffer.reserve(READ_BYTES);
        return reader.read_buf(buffer).await;
    };
    loop {
        let decoded = frames.decode(buffer)?;
        if decoded > 0 || frames.is_closed() {
            return Ok(decoded);
        }
        frames.received.reserve(READ_BYTES);
        match reader.read_buf(&mut frames.received).await {
            Ok(count) if count > 0 => {}
            // The tunnel was lost, and with it how the server's stream ends.
            _ => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

impl H1Stream {
    /// Wraps a connected socket, and limits for how long its peer may be silent.
    pub fn new(socket: TcpStream, role: PeerRole) -> Self {
        detect_dead_peer(&socket, role);
        Self {
            socket,
            buffer: BytesMut::new(),
            frames: None,
        }
    }

    /// Wraps a socket to a tunnel, which sends the bytes of the server in frames
    /// ([`frame_head`](crate::frame_head)). Bytes are written without frames.
    pub fn tunnelled(socket: TcpStream) -> Self {
        Self {
            frames: Some(FrameReader::default()),
            ..Self::new(socket, PeerRole::Server)
        }
    }

    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    ///
    /// Returns the connection error, or `TimedOut`; nothing was sent.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        match timeout(limit, TcpStream::connect(address)).await {
            Ok(socket) => Ok(Self::new(socket?, PeerRole::Server)),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Limits the bytes that were received and not read in the kernel.
    ///
    /// # Errors
    ///
    /// Returns the error of the kernel, whose own limit then stays in force.
    pub fn limit_receive_buffer(&self, bytes: usize) -> io::Result<()> {
        SockRef::from(&self.socket).set_recv_buffer_size(bytes)
    }

    /// Limits the bytes that were written and not acknowledged in the kernel.
    ///
    /// # Errors
    ///
    /// Returns the error of the kernel, whose own limit then stays in force.
    pub fn limit_send_buffer(&self, bytes: usize) -> io::Result<()> {
        SockRef::from(&self.socket).set_send_buffer_size(bytes)
    }

    /// Lets the connection be reset once it is dropped. What was written and not acknowledged is
    /// discarded.
    ///
    /// # Errors
    ///
    /// Returns the error of the kernel, which then still tries to deliver what was written.
    pub fn reset_on_drop(&self) -> io::Result<()> {
        SockRef::from(&self.socket).set_linger(Some(Duration::ZERO))
    }

    /// Reads more bytes into the buffer and returns their number, 0 at the end of the
    /// stream.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection. Of a tunnel, that is `ConnectionAborted` if the
    /// tunnel was lost, and `ConnectionReset` if the connection to the server was.
    pub async fn fill(&mut self) -> io::Result<usize> {
        fill_buffer(&mut self.socket, &mut self.frames, &mut self.buffer).await
    }

    /// Checks that the stream has ended without a reset behind its end, which the kernel reports
    /// to no read. In a tunnel, its last frame tells how the stream of the server has ended.
    pub(crate) fn check_end(&self) -> io::Result<()> {
        match (&self.frames, self.socket.take_error()?) {
            (None, Some(error)) => Err(error),
            _ => Ok(()),
        }
    }

    /// Returns whether all bytes that were read have been consumed.
    pub fn is_buffer_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether the connection is open and idle, so that it can be reused.
    ///
    /// It is not if the peer has closed it or has sent unexpected bytes.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0u8; 1];
        let probe = self.socket.try_read(&mut byte);
        self.buffer.is_empty()
            && self.frames.as_ref().is_none_or(FrameReader::is_idle)
            && matches!(probe, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether the peer has closed its side and nothing is left to read, also if the
    /// runtime has not reported it.
    pub fn is_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        let peeked = SockRef::from(&self.socket).peek(&mut byte);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Returns whether bytes have arrived that were not read yet, also if the runtime has not
    /// reported them.
    pub fn has_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        let peeked = SockRef::from(&self.socket).peek(&mut byte);
        !self.buffer.is_empty() || matches!(peeked, Ok(count) if count > 0)
    }

    /// Waits until the peer closes the connection, the connection fails, or the peer has sent more
    /// than is buffered in the meantime. Nothing more is read then.
    pub async fn watch(&mut self) -> WatchEnd {
        while self.buffer.len() < MAX_WATCH_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return WatchEnd::Closed,
                Ok(_) => {}
            }
        }
        WatchEnd::Full
    }

    /// Waits until the peer closes its side or the connection fails, also behind bytes that were
    /// received and not read. Nothing is read.
    ///
    /// An end that the peer has sent behind more than the kernel receives is not seen before it
    /// resets the connection.
    ///
    /// # Errors
    ///
    /// Returns the error of a runtime that has shut down.
    pub async fn peer_closed(&self) -> io::Result<()> {
        // The end of the stream is a readiness of its own only together with urgent data, which
        // the runtime does not ask the kernel for.
        let ends = Interest::PRIORITY | Interest::ERROR;
        self.socket.ready(ends).await.map(|_| ())
    }

    /// Reads a request head.
    ///
    /// # Errors
    ///
    /// Returns [`H1Fault::Closed`] when the connection closes before the first byte, and
    /// other faults when the connection fails or the head is invalid.
    pub async fn read_request(&mut self, limits: HeadLimits) -> Result<RequestHead, H1Fault> {
        self.read_counted_request(limits, |_| true).await
    }

    /// Reads a request head, and accounts for the memory of one that does not arrive at once.
    /// `try_hold` is called with the bytes that were received so far, and returns whether there
    /// is memory for them.
    ///
    /// # Errors
    ///
    /// Returns the faults of [`read_request`](Self::read_request), and [`H1Fault::MemoryLimit`]
    /// when `try_hold` returns false.
    pub async fn read_counted_request(
        &mut self,
        limits: HeadLimits,
        mut try_hold: impl FnMut(usize) -> bool,
    ) -> Result<RequestHead, H1Fault> {
        loop {
            if let Some(head) = self.take_head(limits, parse_request)? {
                return Ok(head);
            }
            if !try_hold(self.buffer.len()) {
                return Err(H1Fault::MemoryLimit);
            }
            self.fill_head().await?;
        }
    }

    /// Takes a response head from the buffer; `None` if it is still incomplete.
    pub(crate) fn take_response(
        &mut self,
        limits: HeadLimits,
    ) -> Result<Option<ResponseHead>, H1Fault> {
        self.take_head(limits, parse_response)
    }

    /// Takes a head from the buffer; `None` if it is still incomplete.
    fn take_head<H>(
        &mut self,
        limits: HeadLimits,
        parse: fn(&[u8]) -> ParsedHead<H>,
    ) -> Result<Option<H>, H1Fault> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        if let Some((length, head)) = parse(&self.buffer)? {
            if length > limits.bytes {
                return Err(H1Fault::HeadTooLong);
            }
            let _ = self.buffer.split_to(length);
            return Ok(Some(head));
        }
        match self.buffer.len() > limits.bytes {
            true => Err(H1Fault::HeadTooLong),
            false => Ok(None),
        }
    }

    /// Reads more bytes of a head that is not complete.
    pub(crate) async fn fill_head(&mut self) -> Result<(), H1Fault> {
        match (self.fill().await?, self.buffer.is_empty()) {
            (0, true) => Err(H1Fault::Closed),
            (0, false) => Err(H1Fault::Truncated),
            _ => Ok(()),
        }
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection; some bytes may have been written.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes).await
    }

    /// Writes `bytes`, but stops once the peer sends something.
    ///
    /// Returns the number of bytes written: all of them, or fewer if the peer responds
    /// before it has read everything.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection; some bytes may have been written.
    pub async fn write_until_response(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (mut reader, mut writer) = self.socket.split();
        let mut written = 0;
        while written < bytes.len() {
            tokio::select! {
                biased;
                count = writer.write(&bytes[written..]) => match count? {
                    0 => return Err(io::ErrorKind::WriteZero.into()),
                    count => written += count,
                },
                read = fill_buffer(&mut reader, &mut self.frames, &mut self.buffer) => match read? {
                    0 => return Err(io::ErrorKind::ConnectionReset.into()),
                    _ => break,
                },
            }
        }
        Ok(written)
    }

    /// Closes the connection gracefully: shuts down the write side, then discards what
    /// the peer still sends, for at most `limit`.
    ///
    /// Closing immediately while bytes arrive resets the connection, and the peer may
    /// lose a response that it has not yet read.
    pub async fn shutdown(&mut self, limit: Duration) {
        self.buffer.clear();
        // If the peer has already disconnected, there is nothing left to do.
        if self.socket.shutdown().await.is_err() {
            return;
        }
        let discard = async {
            while matches!(self.fill().await, Ok(count) if count > 0) {
                self.buffer.clear();
            }
        };
        // The connection is closed even if the peer keeps sending.
        let _ = timeout(limit, discard).await;
    }
}
