//! Takes connections.

use std::time::Duration;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Time after a connection could not be taken, as when descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The next connection of a listener, whose `part` of the process is named in
/// the log if one can't be taken.
pub(crate) async fn accept_next(listener: &TcpListener, part: &'static str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(error) => {
                log::warn!(target: part, error:% ; "connection not accepted");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}
