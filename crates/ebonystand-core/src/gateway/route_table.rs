use super::*;

/// Index of a [`Routing`] for look-ups by host and path, by service name and by key.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Indices of each host's routes, those with the longest prefix first.
    hosts: FxHashMap<Box<str>, Vec<usize>>,
    /// Index of the workspace that each key belongs to.
    keys: FxHashMap<KeyHash, usize>,
    /// Index of each route by name.
    routes: FxHashMap<Box<str>, usize>,
    routing: Routing,
    /// Index of each service by name.
    services: FxHashMap<ServiceId, usize>,
}

impl RouteTable {
    /// Returns the route for a request: of the host's routes whose prefix begins the path, the one
    /// with the longest prefix. A port in `host` is ignored.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&GatewayRoute> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(host)?.iter();
        routes
            .map(|index| &self.routing.routes[*index])
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the homes of each route of the host that restricts its regions.
    #[must_use]
    pub fn homes_of_host(&self, host: &str) -> Vec<&BTreeSet<RegionId>> {
        let routes = self.hosts.get(host).into_iter().flatten();
        let homes = routes.map(|index| &self.routing.routes[*index].homes);
        homes.filter(|homes| !homes.is_empty()).collect()
    }

    /// Returns the configuration that the table indexes.
    #[must_use]
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Returns the route with this name.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&GatewayRoute> {
        let index = self.routes.get(name)?;
        self.routing.routes.get(*index)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&GatewayService> {
        let index = self.services.get(name)?;
        self.routing.services.get(*index)
    }

    /// Returns the workspace that has the key with this hash.
    #[must_use]
    pub fn workspace(&self, key: &KeyHash) -> Option<&GatewayWorkspace> {
        let index = self.keys.get(key)?;
        self.routing.workspaces.get(*index)
    }
}

impl From<Routing> for RouteTable {
    fn from(routing: Routing) -> Self {
        let mut hosts = FxHashMap::<Box<str>, Vec<usize>>::default();
        for (index, route) in routing.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(routing.routes[*index].prefix.len()));
        }
        let workspaces = routing.workspaces.iter().enumerate();
        let keys = workspaces
            .flat_map(|(index, workspace)| workspace.keys.iter().map(move |key| (*key, index)))
            .collect();
        let routes = routing.routes.iter().enumerate();
        let routes = routes
            .map(|(index, route)| (route.name.clone(), index))
            .collect();
        let services = routing.services.iter().enumerate();
        let services = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            hosts,
            keys,
            routes,
            routing,
            services,
        }
    }
}
