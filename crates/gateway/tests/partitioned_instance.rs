//! Instances that have lost their network path to runners, beside one that has it.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    all_routes, healthy_runner, settings, table, wait_until, CuttableLink, LinkCut, StandinRunner,
    StandinStore, TestGateway,
};
use strum::IntoEnumIterator;

/// Number of runners; a path counts as lost only if several of them are unreachable.
const RUNNERS: usize = 3;
/// Requests that must be served once a path is known to be lost.
const REQUESTS: usize = 20;

/// Two instances. The first reaches the runners only over links that can be cut.
struct PartitionedPair {
    first: TestGateway,
    links: Vec<CuttableLink>,
}

impl PartitionedPair {
    fn start(runners: &[StandinRunner]) -> Self {
        let links = runners
            .iter()
            .map(|runner| CuttableLink::start(runner.address));
        let links: Vec<CuttableLink> = links.collect();
        // Both stores have the same revisions, so that neither instance copies the other's.
        let (near, far) = (StandinStore::start(), StandinStore::start());
        for store in [&near, &far] {
            store.put("config", "main", Some(table(1, all_routes())));
        }
        for (number, (runner, link)) in runners.iter().zip(&links).enumerate() {
            let mut entry = runner.entry("svc", "ready");
            far.put("servers", &format!("r{number}"), Some(entry.clone()));
            entry["Address"] = link.address.to_string().into();
            near.put("servers", &format!("r{number}"), Some(entry));
        }
        let second = TestGateway::start_with(far, "i2");
        let contact = second.settings.peer_address();
        let settings = settings("i1", near.address);
        let first = TestGateway::start_near(near, settings, Some(contact));
        for gateway in [&first, &second] {
            gateway.wait_ready();
            gateway.wait_for_status("GET /safe/warm", "200", false);
        }
        Self { first, links }
    }

    fn cut(&self, cut: LinkCut) {
        self.links.iter().for_each(|link| link.cut(cut));
    }

    /// Sends a request to the first instance; returns the status of the response.
    fn status(&self, line: &str, id: &str) -> String {
        let response = self.first.call(line, id, "", "").unwrap();
        response[9..12].to_owned()
    }
}

/// Guards against callers that get 503 from an instance whose links are cut (RECOVER).
#[test]
fn callers_of_an_instance_without_a_path_to_its_runners_are_served() {
    for cut in LinkCut::iter() {
        let name: &'static str = cut.into();
        let runners: Vec<StandinRunner> = (0..RUNNERS).map(|_| healthy_runner()).collect();
        let pair = PartitionedPair::start(&runners);
        pair.cut(cut);
        wait_until(name, || pair.status("GET /safe/x", name) == "200");
        for line in ["GET /safe/x", "POST /unsafe/x"] {
            let statuses = (0..REQUESTS).map(|n| pair.status(line, &format!("{name}{n}")));
            let statuses: Vec<String> = statuses.collect();
            assert!(statuses.iter().all(|s| s == "200"), "{name}: {statuses:?}");
        }
    }
}
