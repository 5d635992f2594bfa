//! Helpers of the process tests: a table of customers and work, and a caller's client.

// Each test binary uses only some of the helpers.
#![allow(dead_code)]

use berylmount_standins::{CUSTOMER_KEY, CUSTOMER_KEY_HASH};
use serde_json::Value;
use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    sync::OnceLock,
    time::Duration,
};
use ureq::{http::Response, Agent, Body};

/// The binary under test.
pub(crate) fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_berylmount"))
}

/// A table with two customers, prompts, orders and reads.
pub(crate) fn authority_rows() -> &'static str {
    static ROWS: OnceLock<String> = OnceLock::new();
    ROWS.get_or_init(|| {
        format!(
            "kind,name,key_hash,weight,rate_per_s,burst,in_flight,role,model,version,class,pool,idempotent,first_token_ms,total_ms,max_tokens,max_prompt_tokens,checks_fencing\n\
             customer,north-crew,{CUSTOMER_KEY_HASH},10,100,100,100,,,,,,,,,,,\n\
             customer,south-crew,{CUSTOMER_KEY_HASH},10,100,100,100,,,,,,,,,,,\n\
             pool,blaze-models,,,,,,engine,,,,,,,,,,yes\n\
             pool,prompt-keep,,,,,,store,,,,,,,,,,no\n\
             pool,field-ledger,,,,,,service,,,,,,,,,,no\n\
             model,blaze,,,,,,,,v1,,,,,,,,\n\
             work,crew-question,,10,,,,,blaze,,interactive,blaze-models,yes,5000,30000,2000,20000,\n\
             work,blaze-report,,1,,,,,blaze,,bulk,blaze-models,yes,20000,60000,2000,20000,\n\
             work,work-order,,10,,,,,,,critical,field-ledger,no,5000,10000,1,1,\n\
             work,inventory,,10,,,,,,,standard,field-ledger,yes,5000,10000,1,1,\n"
        )
    })
}

/// A customer's client of one entry.
pub(crate) struct CallerClient {
    /// The entry.
    pub(crate) address: SocketAddr,
    agent: Agent,
    authorization: String,
}

impl CallerClient {
    /// A client of `customer` for the entry at `address`.
    pub(crate) fn new(address: SocketAddr, customer: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_secs(2)))
            .timeout_global(Some(Duration::from_secs(60)));
        Self {
            address,
            agent: config.build().into(),
            authorization: format!("Bearer {customer}:{CUSTOMER_KEY}"),
        }
    }

    /// Sends a POST.
    pub(crate) fn post(&self, path: &str, body: &Value) -> Result<Response<Body>, ureq::Error> {
        self.agent
            .post(format!("http://{}{path}", self.address))
            .header("authorization", &self.authorization)
            .send_json(body)
    }

    /// Sends a GET.
    pub(crate) fn get(&self, path: &str) -> Result<Response<Body>, ureq::Error> {
        self.agent
            .get(format!("http://{}{path}", self.address))
            .header("authorization", &self.authorization)
            .call()
    }

    /// Sends a DELETE.
    pub(crate) fn delete(&self, path: &str) -> Result<Response<Body>, ureq::Error> {
        self.agent
            .delete(format!("http://{}{path}", self.address))
            .header("authorization", &self.authorization)
            .call()
    }

    /// Sends a prompt and returns the status and the JSON body.
    pub(crate) fn ask(&self, body: &Value) -> (u16, Value) {
        answer(self.post("/v1/prompts", body))
    }

    /// Sends an order and returns the status and the JSON body.
    pub(crate) fn order(&self, key: &str, body: &Value) -> (u16, Value) {
        answer(self.post(&format!("/v1/orders/{key}"), body))
    }
}

/// Returns the status and the JSON body of an answer; status 0 if there was none.
pub(crate) fn answer(outcome: Result<Response<Body>, ureq::Error>) -> (u16, Value) {
    match outcome {
        Ok(mut answer) => {
            let body = answer.body_mut().read_json();
            (answer.status().as_u16(), body.unwrap_or_default())
        }
        Err(_) => (0, Value::Null),
    }
}

/// Sends a prompt and panics unless it is accepted.
pub(crate) fn post_prompt(caller: &CallerClient, body: &Value) -> Response<Body> {
    let mut answer = caller.post("/v1/prompts", body).unwrap();
    if answer.status() != 200 {
        panic!("{:?}", answer.body_mut().read_to_string());
    }
    answer
}

/// Returns the lines of a streamed answer as they arrive.
pub(crate) fn lines(answer: Response<Body>) -> impl Iterator<Item = std::io::Result<Value>> {
    let reader = BufReader::new(answer.into_body().into_reader());
    reader
        .lines()
        .map(|line| line.and_then(|line| serde_json::from_str(&line).map_err(Into::into)))
}

/// Reads all lines of a streamed answer.
pub(crate) fn read_lines(answer: Response<Body>) -> Vec<Value> {
    lines(answer).collect::<Result<_, _>>().unwrap()
}

/// Joins the tokens of a streamed answer after its last `started` event.
pub(crate) fn joined_text(lines: &[Value]) -> String {
    let start = lines.iter().rposition(|line| line["event"] == "started");
    let tokens = lines[start.unwrap_or(0)..].iter();
    let texts = tokens.filter_map(|line| line["text"].as_str());
    texts.collect()
}
