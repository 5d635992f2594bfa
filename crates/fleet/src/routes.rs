//! The table of routes, services and customer keys.

use crate::CallerRequest;
use std::{cmp::Reverse, net::SocketAddr, time::Duration};
use strum::{Display, EnumString};
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// Whether the requests of a route may be retried.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// Not idempotent: each attempt of a caller runs at most once.
    Unsafe,
    /// The response is a stream of events; a request is retried only if the route is
    /// resumable.
    Streaming,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Host that the route matches, in lower case.
    pub host: String,
    /// Prefix of the paths that the route matches; ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried.
    pub kind: RouteKind,
    /// Maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest gap between two events of a stream.
    pub target_gap: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services with their weights; never empty.
    pub services: Vec<ServiceShare>,
    /// Maximum number of runners that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Whether a broken stream may resume on another runner after its last event.
    pub is_resumable: bool,
    /// Regions that may get requests; all if empty.
    pub home_regions: Vec<String>,
}

impl RouteRule {
    /// Returns whether a request may be retried after it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }

    /// Selects the service for a request by a weighted hash of the request id.
    ///
    /// The same id always selects the same service, so that a prompt returns to the
    /// service that has already prefilled it. A stream that is taken up has the service of the
    /// attempt that began it.
    pub fn service_for(&self, request: &CallerRequest) -> &str {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let first = self.services.first().map_or("", |s| s.service.as_str());
        if self.services.len() < 2 || total == 0 {
            return first;
        }
        let mut point = xxh3_64(request.resumes.as_ref().unwrap_or(&request.id).as_bytes()) % total;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if point < weight {
                return &share.service;
            }
            point -= weight;
        }
        first
    }
}

/// Properties of the engines of a model service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests in one runner's batch.
    pub slots: u32,
    /// Capacity of one runner's KV cache, in tokens.
    pub memory_tokens: u64,
    /// Size of the KV cache of one token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of a runner's link, in bits per millisecond.
    pub link_bits_per_ms: f64,
}

/// A KV cache store.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Address of the store.
    pub address: SocketAddr,
    /// Data centre of the store.
    pub data_centre: String,
    /// Capacity in tokens.
    pub memory_tokens: u64,
    /// Bandwidth of the store's link, in bits per millisecond.
    pub link_bits_per_ms: f64,
    /// Latency added to each transfer.
    pub transfer_latency: Duration,
    /// Whether eviction is left to the gateway; such a store frees nothing by itself.
    pub is_managed: bool,
}

/// Kind of back end of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// Model engines.
    Engines(EngineSpec),
    /// A KV cache store; it accepts no requests.
    Store(CacheStore),
    /// Any other service that responds to requests.
    Plain,
}

/// What the runners of a service bear after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which a runner is cold after it has started.
    pub duration: Duration,
    /// Requests per second that a cold runner bears from all instances together.
    pub per_s: f64,
}

/// A service and its back end.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetService {
    /// Name of the service.
    pub name: String,
    /// Kind of its back end.
    pub kind: ServiceKind,
    /// Maximum number of connections that one runner accepts in total.
    pub max_connections: u32,
    /// What its runners bear after their start; `None` if as much as at any time.
    pub cold_start: Option<ColdStart>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request head.
    pub head_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
}

/// A customer and its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CustomerRecord {
    /// Name of the customer.
    pub name: String,
    /// Keys of the customer.
    pub keys: Vec<String>,
    /// Priority that overrides the route's priority, if any.
    pub priority: Option<u8>,
    /// Whether its cached prompts are shared with no other customer.
    pub is_isolated: bool,
    /// Regions that may get its requests; all if empty.
    pub home_regions: Vec<String>,
}

/// The routing configuration set by the operators, at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// Version of the table; only increases.
    pub version: u64,
    /// Routes sorted by host, then by descending prefix length.
    routes: Vec<RouteRule>,
    /// Services sorted by name.
    services: Vec<TargetService>,
    /// Customers, or `None` if no request needs a key.
    customers: Option<Vec<CustomerRecord>>,
    /// Keys with the index of their customer, sorted by key.
    keys: Vec<(String, usize)>,
    /// The namespace of the cache that customers share.
    shared_namespace: String,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Creates a table, sorted and indexed for lookups.
    pub fn new(
        version: u64,
        mut routes: Vec<RouteRule>,
        mut services: Vec<TargetService>,
        customers: Option<Vec<CustomerRecord>>,
        limits: CallerLimits,
    ) -> Self {
        routes.sort_by(|a, b| {
            let longest_first = Reverse(a.path_prefix.len()).cmp(&Reverse(b.path_prefix.len()));
            a.host.cmp(&b.host).then(longest_first)
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let listed = customers.iter().flatten().enumerate();
        let mut keys: Vec<(String, usize)> = listed
            .flat_map(|(index, customer)| customer.keys.iter().map(move |k| (k.clone(), index)))
            .collect();
        keys.sort();
        let shared_namespace = shared_namespace(customers.as_deref().unwrap_or_default());
        Self {
            version,
            routes,
            services,
            customers,
            keys,
            shared_namespace,
            limits,
        }
    }

    /// Returns the route for a host and path: the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.routes_of(host)
            .find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// Returns the routes of a host.
    pub fn routes_of(&self, host: &str) -> impl Iterator<Item = &RouteRule> {
        let start = self
            .routes
            .partition_point(|rule| rule.host.as_str() < host);
        let end = self
            .routes
            .partition_point(|rule| rule.host.as_str() <= host);
        self.routes[start..end].iter()
    }

    /// Returns the routes whose streams may be resumed.
    pub fn resumable_routes(&self) -> impl Iterator<Item = &RouteRule> {
        let is_resumable =
            |route: &&RouteRule| route.kind == RouteKind::Streaming && route.is_resumable;
        self.routes.iter().filter(is_resumable)
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&TargetService> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> &[TargetService] {
        &self.services
    }

    /// Returns whether requests on non-public routes need a key.
    pub fn needs_keys(&self) -> bool {
        self.customers.is_some()
    }

    /// Returns the customer that owns `key`.
    pub fn customer(&self, key: &str) -> Option<&CustomerRecord> {
        let found = self
            .keys
            .binary_search_by(|(held, _)| held.as_str().cmp(key));
        let (_, index) = self.keys.get(found.ok()?)?;
        self.customers.as_ref()?.get(*index)
    }

    /// Returns the namespace of the cached prompts of a customer: its own if it is isolated,
    /// else the one that all others share. Contains letters, digits and `-` only.
    ///
    /// The shared namespace depends on which customers are isolated. What a customer left in it
    /// before it became isolated stays behind at runners and in stores, under a namespace
    /// that is used again only if the same customers are isolated.
    ///
    /// ```
    /// use berylmount_fleet::{CallerLimits, CustomerRecord, RouteTable};
    /// use std::time::Duration;
    ///
    /// let limits = CallerLimits {
    ///     head_bytes: 1, body_bytes: 1, head_time: Duration::ZERO, idle_time: Duration::ZERO,
    /// };
    /// let customer = |name: &str, is_isolated| CustomerRecord {
    ///     name: name.to_owned(), keys: Vec::new(), priority: None, is_isolated,
    ///     home_regions: Vec::new(),
    /// };
    /// let table = |customers| RouteTable::new(1, Vec::new(), Vec::new(), Some(customers), limits);
    /// let (crew, press) = (customer("crew", false), customer("press", true));
    /// let before = table(vec![crew.clone(), customer("press", false)]);
    /// let after = table(vec![crew.clone(), press.clone()]);
    /// assert_eq!(before.cache_namespace(Some(&crew)), "shared");
    /// assert_ne!(after.cache_namespace(Some(&crew)), "shared");
    /// assert_eq!(after.cache_namespace(Some(&press)), "only-7072657373");
    /// ```
    pub fn cache_namespace(&self, customer: Option<&CustomerRecord>) -> String {
        match customer.filter(|customer| customer.is_isolated) {
            Some(customer) => {
                let digits = customer.name.bytes().map(|byte| format!("{byte:02x}"));
                digits.fold(String::from("only-"), |namespace, digits| {
                    namespace + &digits
                })
            }
            None => self.shared_namespace.clone(),
        }
    }
}

/// Returns the namespace that customers share while some of them are isolated.
fn shared_namespace(customers: &[CustomerRecord]) -> String {
    let isolated = customers.iter().filter(|customer| customer.is_isolated);
    let mut names: Vec<&str> = isolated.map(|customer| customer.name.as_str()).collect();
    if names.is_empty() {
        return "shared".to_owned();
    }
    names.sort_unstable();
    names.dedup();
    let mut hash = Xxh3::new();
    for name in names {
        hash.update(&(name.len() as u64).to_le_bytes());
        hash.update(name.as_bytes());
    }
    format!("shared-{:016x}", hash.digest())
}
