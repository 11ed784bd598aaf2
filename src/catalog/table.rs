//! One whole version of the declarations.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use super::{AccountSpec, RouteSpec, ServiceSpec};

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request to arrive.
    pub request_timeout: Duration,
    /// Longest time for which an idle connection is kept.
    pub idle_timeout: Duration,
}

/// A version of the routes, services and client accounts.
#[derive(Clone, Debug)]
pub struct RouteCatalog {
    version: u64,
    limits: Option<CallerLimits>,
    routes: BTreeMap<String, BTreeMap<String, Rc<RouteSpec>>>,
    services: BTreeMap<String, Rc<ServiceSpec>>,
    accounts: BTreeMap<String, Rc<AccountSpec>>,
    keys: BTreeMap<String, String>,
}

/// Collects the parts of a catalog.
#[derive(Debug)]
pub struct CatalogBuilder {
    catalog: RouteCatalog,
}

impl CatalogBuilder {
    /// Begins a catalog of a version.
    pub fn new(version: u64) -> CatalogBuilder {
        let catalog = RouteCatalog {
            version,
            limits: None,
            routes: BTreeMap::new(),
            services: BTreeMap::new(),
            accounts: BTreeMap::new(),
            keys: BTreeMap::new(),
        };
        CatalogBuilder { catalog }
    }

    /// Sets the bounds on what callers may send.
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

    /// Adds a client account with its keys.
    pub fn with_account(
        mut self,
        account: AccountSpec,
        keys: impl IntoIterator<Item = String>,
    ) -> CatalogBuilder {
        for key in keys {
            self.catalog.keys.insert(key, account.name.clone());
        }
        let name = account.name.clone();
        self.catalog.accounts.insert(name, Rc::new(account));
        self
    }

    /// Ends the catalog.
    pub fn build(self) -> RouteCatalog {
        self.catalog
    }
}

impl RouteCatalog {
    /// The version, which only grows.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The bounds on what callers may send, if they are declared.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }

    /// The route with the longest prefix of a path.
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

    /// The client account that a key belongs to.
    pub fn find_account(&self, key: &str) -> Option<&Rc<AccountSpec>> {
        self.accounts.get(self.keys.get(key)?)
    }

    /// All client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountSpec> {
        self.accounts.values().map(Rc::as_ref)
    }

    /// A client account by its name.
    pub fn account(&self, name: &str) -> Option<&Rc<AccountSpec>> {
        self.accounts.get(name)
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Rc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Whether callers need keys at all.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }
}
