use super::*;

/// Operator's configuration of all routes, services and workspaces. It is replaced as a whole under
/// a revision number that the operator chooses; the highest number is in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Routing {
    /// Revision chosen by the operator; 0 before the first one.
    pub revision: u64,
    /// Routes, in the operator's order.
    pub routes: Vec<GatewayRoute>,
    /// Services that the routes send requests to.
    pub services: Vec<GatewayService>,
    /// Original text from the operator, returned when operators ask for it. It may contain the
    /// secrets of keys, so only operators get it. Members of the log store it; it is empty in the
    /// copies of other VMs.
    pub source: Box<str>,
    /// Workspaces with their keys and quotas.
    pub workspaces: Vec<GatewayWorkspace>,
}

impl Routing {
    /// Returns all faults of the configuration; empty if it may be put in force.
    #[must_use]
    pub fn faults(&self) -> Vec<RoutingFault> {
        let mut faults = Vec::new();
        let services: BTreeSet<_> = self.services.iter().map(|service| &service.name).collect();
        let mut places = BTreeMap::new();
        for route in &self.routes {
            Self::route_faults(route, &services, &mut faults);
            if let Some(first) = places.insert((&route.host, &route.prefix), &route.name) {
                faults.push(RoutingFault::SamePlace {
                    first: first.clone(),
                    second: route.name.clone(),
                });
            }
        }
        self.key_faults(&mut faults);
        faults
    }

    /// Returns the regions that any route or workspace names as a home.
    pub fn regions(&self) -> impl Iterator<Item = &RegionId> {
        let routes = self.routes.iter().flat_map(|route| &route.homes);
        let workspaces = self
            .workspaces
            .iter()
            .flat_map(|workspace| &workspace.homes);
        routes.chain(workspaces)
    }

    /// Returns a copy without the operator's text, which is several times as long as the rest and
    /// not needed to serve.
    #[must_use]
    pub fn without_source(&self) -> Self {
        Self {
            revision: self.revision,
            routes: self.routes.clone(),
            services: self.services.clone(),
            source: Box::default(),
            workspaces: self.workspaces.clone(),
        }
    }

    /// Appends a fault for each key that two workspaces share.
    fn key_faults(&self, faults: &mut Vec<RoutingFault>) {
        let mut owners = BTreeMap::new();
        for workspace in &self.workspaces {
            for key in &workspace.keys {
                let first = owners.insert(key, &workspace.name);
                if let Some(first) = first.filter(|first| **first != workspace.name) {
                    faults.push(RoutingFault::SharedKey {
                        first: first.clone(),
                        second: workspace.name.clone(),
                    });
                }
            }
        }
    }

    /// Appends the faults of `route`, apart from a host and prefix that another route has too.
    fn route_faults(
        route: &GatewayRoute,
        services: &BTreeSet<&ServiceId>,
        faults: &mut Vec<RoutingFault>,
    ) {
        let name = &route.name;
        if route.timeout_ms == 0 {
            faults.push(RoutingFault::Timeout {
                route: name.clone(),
            });
        }
        if route.total_weight() == 0 {
            faults.push(RoutingFault::Weight {
                route: name.clone(),
            });
        }
        for part in &route.split {
            if !services.contains(&part.service) {
                faults.push(RoutingFault::UnknownService {
                    route: name.clone(),
                    service: part.service.clone(),
                });
            }
        }
    }
}
