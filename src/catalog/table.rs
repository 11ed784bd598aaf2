//! The catalog of routes, services and client accounts, and its builder.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use super::{AccountSpec, RouteSpec, ServiceSpec};

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The maximum time for a request to arrive completely.
    pub request_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// One version of the routes, services and client accounts.
#[derive(Clone, Debug)]
pub struct RouteCatalog {
    version: u64,
    limits: Option<CallerLimits>,
    routes: BTreeMap<String, BTreeMap<String, Rc<RouteSpec>>>,
    services: BTreeMap<String, Rc<ServiceSpec>>,
    accounts: BTreeMap<String, Rc<AccountSpec>>,
    key_owners: BTreeMap<String, String>,
}

/// Builds a [`RouteCatalog`].
#[derive(Debug)]
pub struct CatalogBuilder {
    catalog: RouteCatalog,
}

impl CatalogBuilder {
    /// Creates a builder for an empty catalog of the given version.
    pub fn new(version: u64) -> CatalogBuilder {
        let catalog = RouteCatalog {
            version,
            limits: None,
            routes: BTreeMap::new(),
            services: BTreeMap::new(),
            accounts: BTreeMap::new(),
            key_owners: BTreeMap::new(),
        };
        CatalogBuilder { catalog }
    }

    /// Sets the limits for callers.
    pub fn with_limits(mut self, limits: CallerLimits) -> CatalogBuilder {
        self.catalog.limits = Some(limits);
        self
    }

    /// Adds a route.
    pub fn with_route(mut self, route: RouteSpec) -> CatalogBuilder {
        let host = route.host.to_ascii_lowercase();
        let prefix = route.prefix.clone();
        let routes = self.catalog.routes.entry(host).or_default();
        routes.insert(prefix, Rc::new(route));
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, service: ServiceSpec) -> CatalogBuilder {
        let name = service.name.clone();
        self.catalog.services.insert(name, Rc::new(service));
        self
    }

    /// Adds a client account with its API keys.
    pub fn with_account(
        mut self,
        account: AccountSpec,
        keys: impl IntoIterator<Item = String>,
    ) -> CatalogBuilder {
        for key in keys {
            self.catalog.key_owners.insert(key, account.name.clone());
        }
        let name = account.name.clone();
        self.catalog.accounts.insert(name, Rc::new(account));
        self
    }

    /// Returns the finished catalog.
    pub fn build(self) -> RouteCatalog {
        self.catalog
    }
}

impl RouteCatalog {
    /// Returns the version, which only ever increases.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers, if any are declared.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }

    /// Returns the route of a host whose prefix is the longest match for a
    /// path.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::catalog::CatalogBuilder;
    ///
    /// let catalog = CatalogBuilder::new(1).build();
    /// assert!(catalog.find_route("milk.example", "/a/b").is_none());
    /// ```
    pub fn find_route(
        &self,
        host: &str,
        path: &str,
    ) -> Option<&Rc<RouteSpec>> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the client account that an API key belongs to.
    pub fn find_account(&self, key: &str) -> Option<&Rc<AccountSpec>> {
        self.accounts.get(self.key_owners.get(key)?)
    }

    /// Returns all client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountSpec> {
        self.accounts.values().map(Rc::as_ref)
    }

    /// Returns the client account with the given name.
    pub fn account(&self, name: &str) -> Option<&Rc<AccountSpec>> {
        self.accounts.get(name)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Rc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Returns whether any account is declared, so that callers need keys.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }
}
