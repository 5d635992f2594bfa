//! The table of routes, services and customers' keys.

use crate::CallerRequest;
use std::{cmp::Reverse, net::SocketAddr, time::Duration};
use strum::{Display, EnumString};
use xxhash_rust::xxh3::xxh3_64;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once for each attempt of a caller.
    Unsafe,
    /// Answers with a series of events; repeatable only if resumable.
    Streaming,
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The service's name.
    pub service: String,
    /// Its part, relative to the others.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The host that it serves, in lower case.
    pub host: String,
    /// The start of the paths that it serves; ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is worth most.
    pub target_latency: Duration,
    /// The longest pause between two events of an answer on time.
    pub target_gap: Option<Duration>,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// Services with their parts; never empty.
    pub services: Vec<ServiceShare>,
    /// Runners that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a broken stream may go on elsewhere after its last event.
    pub is_resumable: bool,
}

impl RouteRule {
    /// Whether a request that may have run may run again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }

    /// The service for a request: the same one for the same id and session, so
    /// that prompts come back to the service that has read them.
    pub fn service_for(&self, request: &CallerRequest) -> &str {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let first = self.services.first().map_or("", |s| s.service.as_str());
        if self.services.len() < 2 || total == 0 {
            return first;
        }
        let mut point = xxh3_64(request.id.as_bytes()) % total;
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

/// What the engines of a model service can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one runner batches.
    pub slots: u32,
    /// Tokens that one runner's memory holds.
    pub memory_tokens: u64,
    /// Bytes of one token's cache.
    pub token_bytes: u64,
    /// Bits that a runner's link carries in a millisecond.
    pub link_bits_per_ms: f64,
}

/// A store of kept cache.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Tokens that it holds.
    pub memory_tokens: u64,
    /// Bits that its link carries in a millisecond.
    pub link_bits_per_ms: f64,
    /// Extra wait of each transfer.
    pub transfer_latency: Duration,
    /// Whether it frees nothing by itself.
    pub is_managed: bool,
}

/// What stands behind a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// Model engines.
    Engines(EngineSpec),
    /// A store of kept cache; it takes no requests.
    Store(CacheStore),
    /// Anything else that answers requests.
    Plain,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetService {
    /// Its name.
    pub name: String,
    /// What stands behind it.
    pub kind: ServiceKind,
    /// Connections that one runner accepts from all callers together.
    pub max_connections: u32,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send a head.
    pub head_time: Duration,
    /// Time that a connection may stay without a request.
    pub idle_time: Duration,
}

/// A customer with its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServingCustomer {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, which goes before the route's; `None` leaves the route's.
    pub priority: Option<u8>,
    /// Whether its cached prompts are shared with nobody.
    pub is_isolated: bool,
}

/// Everything that operators decide, as of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// The version; only rises.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    routes: Vec<RouteRule>,
    /// Services by name.
    services: Vec<TargetService>,
    /// Customers, or `None` if requests need no key.
    customers: Option<Vec<ServingCustomer>>,
    /// Keys with the index of their customer, by key.
    keys: Vec<(String, usize)>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Arranges a table for look-ups.
    pub fn new(
        version: u64,
        mut routes: Vec<RouteRule>,
        mut services: Vec<TargetService>,
        customers: Option<Vec<ServingCustomer>>,
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
        Self {
            version,
            routes,
            services,
            customers,
            keys,
            limits,
        }
    }

    /// The route for a host and path: the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let start = self
            .routes
            .partition_point(|rule| rule.host.as_str() < host);
        let of_host = self.routes[start..].iter();
        let mut of_host = of_host.take_while(|rule| rule.host == host);
        of_host.find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&TargetService> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// All services by name.
    pub fn services(&self) -> &[TargetService] {
        &self.services
    }

    /// Whether requests on routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        self.customers.is_some()
    }

    /// The customer that holds a key.
    pub fn customer(&self, key: &str) -> Option<&ServingCustomer> {
        let found = self
            .keys
            .binary_search_by(|(held, _)| held.as_str().cmp(key));
        let (_, index) = self.keys.get(found.ok()?)?;
        self.customers.as_ref()?.get(*index)
    }
}
