use super::*;

/// A [`Routing`] made ready for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes of a host, the longest prefix first.
    hosts: FxHashMap<Box<str>, Vec<usize>>,
    keys: FxHashMap<KeyHash, usize>,
    routing: Routing,
    services: FxHashMap<ServiceId, usize>,
}

impl RouteTable {
    /// The route of a request: of the host's routes that its path begins with, the longest.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&GatewayRoute> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(host)?.iter();
        routes
            .map(|index| &self.routing.routes[*index])
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// Regions that the routes of a host name as homes, one set for each route that names any.
    #[must_use]
    pub fn homes_of_host(&self, host: &str) -> Vec<&BTreeSet<RegionId>> {
        let routes = self.hosts.get(host).into_iter().flatten();
        let homes = routes.map(|index| &self.routing.routes[*index].homes);
        homes.filter(|homes| !homes.is_empty()).collect()
    }

    /// What the table was made of.
    #[must_use]
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// A service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&GatewayService> {
        let index = self.services.get(name)?;
        self.routing.services.get(*index)
    }

    /// Workspace whose key has this hash.
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
        let services = routing.services.iter().enumerate();
        let services = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            hosts,
            keys,
            routing,
            services,
        }
    }
}
