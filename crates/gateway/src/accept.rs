//! Accepts connections and retries after errors.

use std::{io, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Logs that the kernel refused to change an option of a socket. The connection is used all the
/// same, with the kernel's default.
pub(crate) fn note_option(changed: io::Result<()>, option: &'static str) {
    if let Err(error) = changed {
        log::warn!(target: "sockets", option, error:% ; "could not change an option of a socket");
    }
}

/// Accepts the next connection of a listener. Errors are logged under the target
/// `log_target` and retried.
pub(crate) async fn accept_next(listener: &TcpListener, log_target: &'static str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(error) => {
                log::warn!(target: log_target, error:% ; "failed to accept a connection");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}
