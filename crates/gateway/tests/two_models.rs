//! Runners that serve several models, whose weights have versions of their own.
#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::{json, Value};
use standins::{
    all_routes, header, received_requests, response_to, scripted_runner, table, wait_until,
    AfterResponse, StandinRunner, StandinStore, TestGateway,
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

/// Versions of the weights of each model.
type Weights = Arc<Mutex<BTreeMap<String, u64>>>;

/// Starts a runner that serves the models `m` and `n` and carries out orders at once.
fn two_model_runner() -> (StandinRunner, Weights) {
    let weights: Weights = Arc::default();
    for model in ["m", "n"] {
        weights.lock().unwrap().insert(model.to_owned(), 1);
    }
    let known = weights.clone();
    let runner = scripted_runner(move |request| {
        let mut weights = known.lock().unwrap();
        if request.contains("/berylmount/report") {
            let models = weights.iter();
            let models = models.map(|(name, version)| json!({"Name": name, "Version": version}));
            let models: Vec<Value> = models.collect();
            let report = json!({"Models": models, "Busy": false, "Sequence": 0}).to_string();
            return (response_to(request, "200 OK", &report), AfterResponse::Keep);
        }
        if request.contains("/berylmount/order") {
            let (_, body) = request.split_once("\r\n\r\n").unwrap();
            let order: Value = serde_json::from_str(body).unwrap();
            let model = order["Model"].as_str().unwrap().to_owned();
            weights.insert(model, order["Version"].as_u64().unwrap());
            return (
                response_to(request, "202 Accepted", ""),
                AfterResponse::Keep,
            );
        }
        let model = header(request, "berylmount-model").unwrap();
        let expected = header(request, "berylmount-expect-version");
        let version = weights[&model];
        if expected.is_some_and(|expected| expected != version.to_string()) {
            let status = "421 Misdirected Request\r\nberylmount-not-executed: 1";
            return (response_to(request, status, ""), AfterResponse::Keep);
        }
        let status = format!("200 OK\r\nberylmount-weight-versions: {version}");
        (response_to(request, &status, "fine"), AfterResponse::Keep)
    });
    (runner, weights)
}

fn send_prompt(gateway: &TestGateway, id: &str, model: &str) -> String {
    let headers = format!("Berylmount-Model: {model}\r\nBerylmount-Token-Usage: 100,10\r\n");
    let response = gateway.call("GET /safe/x", id, &headers, "").unwrap();
    response.lines().next().unwrap().to_owned()
}

/// Guards against taking the version of one model for that of another on the same runner: new
/// weights of the second model were never ordered, and its requests were refused.
#[test]
fn each_model_of_a_runner_has_weights_of_its_own() {
    let runners = [two_model_runner(), two_model_runner()];
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    let register = || {
        for (id, (runner, weights)) in ["r1", "r2"].iter().zip(&runners) {
            let mut entry = runner.entry("svc", "ready");
            let weights = weights.lock().unwrap().clone();
            let models = weights.iter();
            let models = models.map(|(name, version)| json!({"Name": name, "Version": version}));
            entry["Models"] = models.collect();
            if store.value("servers", id) != Some(entry.clone()) {
                store.put("servers", id, Some(entry));
            }
        }
    };
    register();
    let gateway = TestGateway::start_with(store.clone(), "i1");
    gateway.wait_ready();
    gateway.wait_for_status("GET /safe/warm", "200", false);
    let has = |model: &str, version: u64| {
        let mut weights = runners.iter().map(|(_, weights)| weights.lock().unwrap());
        weights.all(|weights| weights[model] == version)
    };
    for model in ["m", "n"] {
        let weights = json!({"Model": model, "Version": 2});
        store.put("versions", model, Some(weights));
        wait_until(&format!("the new weights of {model}"), || {
            // Responses name the version that the runner has of the request's model.
            for prompt_model in ["m", "n"] {
                let status = send_prompt(&gateway, "id1", prompt_model);
                assert_eq!(status, "HTTP/1.1 200 OK", "{prompt_model}");
            }
            register();
            has(model, 2)
        });
    }
    let orders = |(runner, _): &(StandinRunner, Weights)| {
        let requests = received_requests(runner);
        let orders = requests.iter().filter(|r| r.contains("/berylmount/order"));
        orders.count()
    };
    assert_eq!(runners.each_ref().map(orders), [2, 2]);
}

/// Guards against an order for one model while the runner still carries out that for another.
#[test]
fn a_runner_gets_one_order_at_a_time() {
    let orders: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = orders.clone();
    // The runner accepts orders and never ends them.
    let runner = scripted_runner(move |request| {
        let body = match request.contains("/berylmount/order") {
            true => {
                let (_, body) = request.split_once("\r\n\r\n").unwrap();
                let order: Value = serde_json::from_str(body).unwrap();
                let model = order["Model"].as_str().unwrap().to_owned();
                seen.lock().unwrap().push(model);
                return (
                    response_to(request, "202 Accepted", ""),
                    AfterResponse::Keep,
                );
            }
            false => {
                r#"{"Models":[{"Name":"m","Version":1},{"Name":"n","Version":1}],"Sequence":0}"#
            }
        };
        (response_to(request, "200 OK", body), AfterResponse::Keep)
    });
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    let mut entry = runner.entry("svc", "ready");
    entry["Models"] = json!([{"Name": "m", "Version": 1}, {"Name": "n", "Version": 1}]);
    store.put("servers", "r1", Some(entry.clone()));
    let gateway = TestGateway::start_with(store.clone(), "i1");
    gateway.wait_ready();
    for model in ["m", "n"] {
        let weights = json!({"Model": model, "Version": 2});
        store.put("versions", model, Some(weights));
    }
    wait_until("an order", || !orders.lock().unwrap().is_empty());
    let first = orders.lock().unwrap()[0].clone();
    // Long enough for several checks of the runners.
    std::thread::sleep(std::time::Duration::from_millis(600));
    assert_eq!(*orders.lock().unwrap(), std::slice::from_ref(&first));
    let index = usize::from(first == "n");
    entry["Models"][index]["Version"] = json!(2);
    store.put("servers", "r1", Some(entry));
    wait_until("the order for the other model", || {
        orders.lock().unwrap().len() == 2
    });
    assert_ne!(orders.lock().unwrap()[1], first);
}
