//! The object API over HTTP.
//!
//! | call | request | answers |
//! | --- | --- | --- |
//! | get | `GET /objects/KEY` | 200 with `ETag`, 404 |
//! | put | `PUT /objects/KEY` with `If-Match` or `If-None-Match: *` | 200 with `ETag`, 412 with `ETag`, 413 |
//! | delete | `DELETE /objects/KEY` with `If-Match` | 204, 404, 412 with `ETag` |
//! | watch | `GET /objects/KEY?after=V&wait_ms=W` | 200 with `ETag`, 204, 404, 412 with `ETag` |
//! | list | `GET /objects?prefix=P` | 200 with JSON |
//! | instances | `GET /instances` | 200 with JSON |
//!
//! An answer of 503 says that the platform did nothing.
//!
//! After a call without an answer the idle connections are dropped: what made
//! one silent may have made all of them silent, while new ones work.

use crate::{
    CallCounts, CallKind, InstanceListing, ObjectHead, ObjectStore, StoreError, StoredObject,
};
use serde::de::DeserializeOwned;
use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};
use ureq::{
    http::{header, HeaderMap, Response, StatusCode},
    Agent, Body, Error, Timeout,
};

/// The longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for an answer unless set, beyond what the call asks to wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The bound of one object in an answer, in bytes; somewhat over the platform's own.
const OBJECT_BOUND: u64 = 2 << 20;
/// The bound of a listing, in bytes.
const LISTING_BOUND: u64 = 32 << 20;
/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// An [`ObjectStore`] over HTTP.
///
/// One client serves all threads of a process; a waiting watch holds a
/// connection of its own.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    agent: Arc<RwLock<Agent>>,
    timeout: Duration,
    base: String,
    counts: Arc<CallCounts>,
}

impl PlatformClient {
    /// A client of the platform at `address`; it connects at the first call.
    ///
    /// ```
    /// use berylmount_objects::{ObjectStore, PlatformClient, StoreError};
    ///
    /// let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    /// let client = PlatformClient::new(closed);
    /// assert_eq!(client.put("a", 0, b"1"), Err(StoreError::Unavailable));
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self::with_timeout(address, CALL_TIMEOUT)
    }

    /// A client whose calls wait `timeout` for an answer; a watch beyond its own wait.
    pub fn with_timeout(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            agent: Arc::new(RwLock::new(new_agent(timeout))),
            timeout,
            base: format!("http://{address}"),
            counts: Arc::default(),
        }
    }

    /// The agent with the idle connections.
    fn agent(&self) -> Agent {
        let agent = self.agent.read().unwrap_or_else(PoisonError::into_inner);
        agent.clone()
    }

    /// Drops the idle connections.
    fn reset(&self) {
        let agent = new_agent(self.timeout);
        *self.agent.write().unwrap_or_else(PoisonError::into_inner) = agent;
    }

    /// The calls that this client and its clones have made.
    pub fn counts(&self) -> &Arc<CallCounts> {
        &self.counts
    }

    /// The address of an object.
    fn object_url(&self, key: &str) -> Result<String, StoreError> {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-' | b'/');
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.bytes().all(allowed) {
            return Err(StoreError::Malformed);
        }
        Ok(format!("{}/objects/{key}", self.base))
    }

    /// Counts a call, and its failure if it has one.
    fn counted<T>(
        &self,
        kind: CallKind,
        call: impl FnOnce() -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.counts.add_call(kind);
        let result = call();
        if let Err(StoreError::Unavailable | StoreError::Unclear | StoreError::Malformed) = &result
        {
            self.counts.add_failure(kind);
            self.reset();
        }
        result
    }

    /// Reads a JSON listing.
    fn listing<T: DeserializeOwned>(&self, url: &str) -> Result<T, StoreError> {
        let mut response = self
            .agent()
            .get(url)
            .call()
            .map_err(|error| read_error(&error))?;
        match response.status() {
            StatusCode::OK => read_listing(&mut response),
            status => Err(read_status(status)),
        }
    }
}

impl ObjectStore for PlatformClient {
    fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let url = self.object_url(key)?;
        self.counted(CallKind::Get, || {
            let mut response = self
                .agent()
                .get(&url)
                .call()
                .map_err(|error| read_error(&error))?;
            match response.status() {
                StatusCode::OK => read_object(&mut response).map(Some),
                StatusCode::NOT_FOUND => Ok(None),
                status => Err(read_status(status)),
            }
        })
    }

    fn put(&self, key: &str, expected_version: u64, value: &[u8]) -> Result<u64, StoreError> {
        let url = self.object_url(key)?;
        self.counted(CallKind::Put, || {
            let request = match expected_version {
                0 => self.agent().put(&url).header(header::IF_NONE_MATCH, "*"),
                version => self
                    .agent()
                    .put(&url)
                    .header(header::IF_MATCH, etag(version)),
            };
            let response = request.send(value).map_err(|error| write_error(&error))?;
            match response.status() {
                StatusCode::OK => read_version(response.headers()).ok_or(StoreError::Unclear),
                status => Err(write_status(status, response.headers())),
            }
        })
    }

    fn delete(&self, key: &str, expected_version: u64) -> Result<(), StoreError> {
        let url = self.object_url(key)?;
        self.counted(CallKind::Delete, || {
            let request = self
                .agent()
                .delete(&url)
                .header(header::IF_MATCH, etag(expected_version));
            let response = request.call().map_err(|error| write_error(&error))?;
            match response.status() {
                StatusCode::NO_CONTENT => Ok(()),
                StatusCode::NOT_FOUND => Err(StoreError::NotFound),
                status => Err(write_status(status, response.headers())),
            }
        })
    }

    fn watch(
        &self,
        key: &str,
        after_version: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}?after={after_version}&wait_ms={wait_ms}",
            self.object_url(key)?
        );
        self.counted(CallKind::Watch, || {
            let request = self.agent().get(&url).config();
            let request = request.timeout_global(Some(self.timeout + wait)).build();
            let mut response = request.call().map_err(|error| read_error(&error))?;
            match response.status() {
                StatusCode::OK => read_object(&mut response).map(Some),
                StatusCode::NO_CONTENT => Ok(None),
                StatusCode::NOT_FOUND => Err(StoreError::NotFound),
                StatusCode::PRECONDITION_FAILED => {
                    Err(conflict(response.headers()).unwrap_or(StoreError::Malformed))
                }
                status => Err(read_status(status)),
            }
        })
    }

    fn list(&self, prefix: &str) -> Result<Vec<ObjectHead>, StoreError> {
        self.object_url(prefix)?;
        let url = format!("{}/objects?prefix={prefix}", self.base);
        self.counted(CallKind::List, || self.listing(&url))
    }

    fn instances_after(&self, version: u64) -> Result<Option<InstanceListing>, StoreError> {
        let url = format!("{}/instances", self.base);
        self.counted(CallKind::Instances, || {
            let request = self.agent().get(&url);
            let request = match version {
                0 => request,
                version => request.header(header::IF_NONE_MATCH, etag(version)),
            };
            let mut response = request.call().map_err(|error| read_error(&error))?;
            match response.status() {
                StatusCode::OK => {
                    let version = read_version(response.headers()).unwrap_or(0);
                    let records = read_listing(&mut response)?;
                    Ok(Some(InstanceListing { version, records }))
                }
                StatusCode::NOT_MODIFIED => Ok(None),
                status => Err(read_status(status)),
            }
        })
    }
}

/// An agent without connections.
fn new_agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(timeout))
        .max_redirects(0);
    config.build().into()
}

/// A version as an entity tag.
fn etag(version: u64) -> String {
    format!("\"{version}\"")
}

/// The version in an answer's entity tag.
fn read_version(headers: &HeaderMap) -> Option<u64> {
    let tag = headers.get(header::ETAG)?.to_str().ok()?;
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}

/// The conflict that an answer of 412 tells of.
fn conflict(headers: &HeaderMap) -> Option<StoreError> {
    read_version(headers).map(|current| StoreError::Conflict { current })
}

/// Reads a listing.
fn read_listing<T: DeserializeOwned>(response: &mut Response<Body>) -> Result<T, StoreError> {
    let bytes = read_body(response, LISTING_BOUND)?;
    serde_json::from_slice(&bytes).map_err(|_| StoreError::Malformed)
}

/// Reads a body up to `bound` bytes.
fn read_body(response: &mut Response<Body>, bound: u64) -> Result<Vec<u8>, StoreError> {
    let body = response.body_mut().with_config().limit(bound).read_to_vec();
    body.map_err(|error| match error {
        Error::BodyExceedsLimit(_) => StoreError::Malformed,
        error => read_error(&error),
    })
}

/// Reads an object with its version.
fn read_object(response: &mut Response<Body>) -> Result<StoredObject, StoreError> {
    let version = read_version(response.headers()).ok_or(StoreError::Malformed)?;
    let value = read_body(response, OBJECT_BOUND)?;
    Ok(StoredObject { version, value })
}

/// What an unexpected status says about a read.
fn read_status(status: StatusCode) -> StoreError {
    log::warn!(target: "platform", status = status.as_u16(); "read was answered with an error");
    if status.is_server_error() {
        StoreError::Unavailable
    } else {
        StoreError::Malformed
    }
}

/// What a status other than success says about a write.
fn write_status(status: StatusCode, headers: &HeaderMap) -> StoreError {
    match status {
        StatusCode::PRECONDITION_FAILED => conflict(headers).unwrap_or(StoreError::Unclear),
        StatusCode::PAYLOAD_TOO_LARGE => StoreError::TooLarge,
        StatusCode::SERVICE_UNAVAILABLE => StoreError::Unavailable,
        status => {
            log::warn!(target: "platform", status = status.as_u16(); "write was answered with an error");
            StoreError::Unclear
        }
    }
}

/// What a failed exchange says about a read.
fn read_error(error: &Error) -> StoreError {
    log::debug!(target: "platform", error:% = error; "read failed");
    match error {
        Error::Protocol(_) | Error::Http(_) => StoreError::Malformed,
        _ => StoreError::Unavailable,
    }
}

/// What a failed exchange says about a write.
///
/// Only a connection that was never made proves that nothing was written.
fn write_error(error: &Error) -> StoreError {
    log::debug!(target: "platform", error:% = error; "write failed");
    match error {
        Error::ConnectionFailed | Error::HostNotFound => StoreError::Unavailable,
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => StoreError::Unavailable,
        Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::Unavailable
        }
        _ => StoreError::Unclear,
    }
}
