use super::*;

/// All routes, services and workspaces of the gateway, replaced as a whole under a number that the
/// operator chooses. The highest number is in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Routing {
    /// Number chosen by the operator; 0 if there has been none.
    pub revision: u64,
    /// Routes.
    pub routes: Vec<GatewayRoute>,
    /// Services.
    pub services: Vec<GatewayService>,
    /// The text that the operator sent, given back when it is asked for. It holds the secrets of
    /// keys where the operator's format has them, so it goes to operators only. Members of the log
    /// have it; it is empty in copies of other VMs.
    pub source: Box<str>,
    /// Workspaces.
    pub workspaces: Vec<GatewayWorkspace>,
}

impl Routing {
    /// Every fault; empty if it may be put in force.
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

    /// Regions that any route or workspace names as a home.
    pub fn regions(&self) -> impl Iterator<Item = &RegionId> {
        let routes = self.routes.iter().flat_map(|route| &route.homes);
        let workspaces = self
            .workspaces
            .iter()
            .flat_map(|workspace| &workspace.homes);
        routes.chain(workspaces)
    }

    /// What a VM serves by: all but the operator's text, which is several times as long.
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
        if route.weight() == 0 {
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
