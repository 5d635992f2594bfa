//! The client of one plain service.
//!
//! A call is sent once and never repeated here; the verdict of its fault says
//! whether a repetition could run it twice.

use crate::{
    fault::{FaultKind, RejectReason, TargetFault},
    http::{HttpCaller, TargetTimeouts},
};
use berylmount_model::OrderKey;
use serde::Deserialize;
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};
use ureq::http::Method;

/// What a service knows of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyOutcome {
    /// The call ran and gave this answer.
    Ran(Value),
    /// The service has not run the key so far; a call on its way may still.
    NotFound,
    /// The service tells no outcomes.
    Unsupported,
}

/// The answer to a look-up.
#[derive(Deserialize)]
struct LookUpBody {
    found: bool,
    #[serde(default)]
    answer: Value,
}

/// A client of one service instance.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    caller: HttpCaller,
}

impl ServiceClient {
    /// A client of the service at `address`.
    ///
    /// ```
    /// use berylmount_targets::{ServiceClient, TargetTimeouts};
    ///
    /// let address = "127.0.0.1:9".parse().unwrap();
    /// let client = ServiceClient::new(address, TargetTimeouts::default());
    /// assert_eq!(client.address(), address);
    /// ```
    pub fn new(address: SocketAddr, timeouts: TargetTimeouts) -> Self {
        Self {
            caller: HttpCaller::new(address, timeouts),
        }
    }

    /// The same client, whose calls carry a trace's context.
    ///
    /// ```
    /// use berylmount_targets::{ServiceClient, TargetTimeouts};
    ///
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let client = ServiceClient::new(address, TargetTimeouts::default());
    /// let traced = client.with_traceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    /// assert_eq!(traced.address(), address);
    /// ```
    pub fn with_traceparent(self, traceparent: &str) -> Self {
        Self {
            caller: self.caller.with_traceparent(traceparent),
        }
    }

    /// The service's address.
    pub fn address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Runs the call named `key`, within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] whose verdict says whether it may have run.
    pub fn call(
        &self,
        key: &OrderKey,
        body: &Value,
        limit: Duration,
    ) -> Result<Value, TargetFault> {
        let path = call_path(key);
        self.caller
            .call(Method::POST, &path, Some(body), Some(limit))
    }

    /// Reads `path` below the service's reads, within `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`]; a read may be repeated whatever its verdict.
    pub fn read(&self, path: &str, limit: Duration) -> Result<Value, TargetFault> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "/-._=&?,:".contains(c);
        if !path.chars().all(allowed) || path.contains("..") {
            let detail = "a path holds letters, digits and -._=&?,:/".to_owned();
            return Err(TargetFault::not_sent(FaultKind::BadRequest, detail));
        }
        let path = format!("/v1/reads/{}", path.trim_start_matches('/'));
        self.caller
            .call(Method::GET, &path, None::<&Value>, Some(limit))
    }

    /// Asks what became of the call named `key`.
    ///
    /// # Errors
    ///
    /// Returns a [`TargetFault`] when the service does not answer.
    pub fn look_up(&self, key: &OrderKey) -> Result<KeyOutcome, TargetFault> {
        let path = call_path(key);
        let answer = self
            .caller
            .call::<Value, LookUpBody>(Method::GET, &path, None, None);
        match answer {
            Ok(body) if body.found => Ok(KeyOutcome::Ran(body.answer)),
            Ok(_) => Ok(KeyOutcome::NotFound),
            Err(TargetFault {
                kind: FaultKind::Rejected(RejectReason::NoLookUp),
                ..
            }) => Ok(KeyOutcome::Unsupported),
            Err(fault) => Err(fault.of_earlier()),
        }
    }
}

/// The path of a key; a slash inside the key is one path element.
fn call_path(key: &OrderKey) -> String {
    format!("/v1/calls/{}", key.as_str().replace('/', "%2F"))
}
