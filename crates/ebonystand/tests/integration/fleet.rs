use {
    crate::{
        stand_in::StandIn,
        vm::{OPERATOR, Vm},
    },
    ebonystand_core::{
        Call, Change, ChangeOutcome, ChangeRequest, Document, GroupMemberStatus, Key, KeyHash,
        OperatorStatus, Region, Service, UpstreamKind, Version, Workspace,
    },
    ebonystand_fakes::EngineOptions,
    ebonystand_wire::Secret,
    serde_json::json,
    std::{collections::BTreeMap, fs, ops::Range, path::Path, time::Duration},
    tempfile::TempDir,
};

/// Path of the once-only call of the registry.
pub(crate) const CERTIFICATES: &str = "/v1/services/registry/certificates";
/// Path of completions.
pub(crate) const CHAT: &str = "/v1/chat/completions";
/// A completion that is streamed.
pub(crate) const DRAFT: &str = r#"{"model":"drafter","max_tokens":6,"stream":true,"messages":[{"role":"user","content":"x"}]}"#;
/// Secret of the key that every test's document has.
pub(crate) const KEY: &str = "callers-own-key";
/// Secret that the VMs share.
const SECRET: &str = "fleet-secret-of-more-than-32-bytes";

/// Chained description of a small fleet.
pub(crate) struct FleetBuilder {
    certain_after_ms: Option<u64>,
    document: Document,
    drain_ms: Option<u64>,
    engines: Vec<StandIn>,
    gateway: serde_json::Value,
    group: serde_json::Value,
    members: usize,
    registries: Vec<StandIn>,
    regions: Vec<Box<str>>,
    resources: serde_json::Value,
    vms: Vec<Box<str>>,
}

/// A small fleet that runs.
pub(crate) struct Fleet {
    _dir: TempDir,
    pub(crate) engines: Vec<StandIn>,
    pub(crate) registries: Vec<StandIn>,
    pub(crate) vms: Vec<Vm>,
}

impl FleetBuilder {
    pub(crate) fn new() -> Self {
        Self {
            certain_after_ms: None,
            document: Document::default(),
            drain_ms: None,
            engines: Vec::new(),
            gateway: json!({}),
            group: json!({}),
            members: 1,
            registries: Vec::new(),
            regions: Vec::new(),
            resources: json!({}),
            vms: Vec::new(),
        }
    }

    /// Adds a region with so many VMs.
    pub(crate) fn region(mut self, region: &str, vms: usize) -> Self {
        let holder = format!("vm{}", self.vms.len());
        self.regions.push(region.into());
        self.vms.extend(std::iter::repeat_n(Box::from(region), vms));
        let holders = vec![holder.into()];
        let links = BTreeMap::new();
        let place = Region { holders, links };
        self.document.regions.insert(region.into(), place);
        self
    }

    /// Adds an engine to the region added last.
    pub(crate) fn engine(self, options: EngineOptions) -> Self {
        let engine = StandIn::engine(options);
        self.engine_at(engine)
    }

    pub(crate) fn engine_at(mut self, engine: StandIn) -> Self {
        let models = ["drafter".into()].into();
        let name = format!("engine{}", self.engines.len());
        self.upstream(&name, &engine, UpstreamKind::Model { models });
        self.engines.push(engine);
        self
    }

    /// Adds a registry server to the region added last.
    pub(crate) fn registry(self) -> Self {
        self.registry_at(StandIn::registry())
    }

    pub(crate) fn registry_at(mut self, registry: StandIn) -> Self {
        let service = "registry".into();
        let name = format!("registry{}", self.registries.len());
        self.upstream(&name, &registry, UpstreamKind::Service { service });
        self.registries.push(registry);
        self
    }

    /// Changes the document before it is put in force.
    pub(crate) fn document(mut self, change: impl FnOnce(&mut Document)) -> Self {
        self.fill();
        change(&mut self.document);
        self
    }

    /// Time after the order to stop from which a VM begins only streams that are certain to end before it.
    pub(crate) fn certain_after_ms(mut self, certain_after_ms: u64) -> Self {
        self.certain_after_ms = Some(certain_after_ms);
        self
    }

    /// Longest time that requests which run may take to end when a VM stops.
    pub(crate) fn drain_ms(mut self, drain_ms: Option<u64>) -> Self {
        self.drain_ms = drain_ms;
        self
    }

    /// Settings of serving by routes, equal on all VMs.
    pub(crate) fn settings(mut self, gateway: serde_json::Value) -> Self {
        self.gateway = gateway;
        self
    }

    /// Settings of the replicated group, equal on all VMs.
    pub(crate) fn group(mut self, group: serde_json::Value) -> Self {
        self.group = group;
        self
    }

    /// Resources of the machines, equal for all VMs.
    pub(crate) fn resources(mut self, resources: serde_json::Value) -> Self {
        self.resources = resources;
        self
    }

    /// Gives the first VMs a data folder and makes them members of the replicated group.
    pub(crate) fn members(mut self, members: usize) -> Self {
        self.members = members;
        self
    }

    pub(crate) async fn start(mut self) -> Fleet {
        self.fill();
        let dir = TempDir::new().unwrap();
        Fleet::write_secrets(dir.path());
        let mut all_settings = Vec::new();
        let mut vms: Vec<Vm> = Vec::new();
        for (n, region) in self.vms.iter().enumerate() {
            let seeds = vms.first().map(|vm| vm.addresses.peers);
            let seeds = seeds.as_slice();
            let name = format!("vm{n}");
            let mut settings = Vm::settings(dir.path(), &name, region, seeds);
            if n < self.members {
                settings["data_folder"] = json!(dir.path().join(format!("{name}.data")));
            }
            settings["gateway"] = self.gateway.clone();
            if let Some(certain_after_ms) = self.certain_after_ms {
                settings["limits"]["certain_after_ms"] = json!(certain_after_ms);
            }
            if let Some(drain_ms) = self.drain_ms {
                settings["limits"]["drain_ms"] = json!(drain_ms);
            }
            settings["group"] = self.group.clone();
            settings["resources"] = self.resources.clone();
            settings["members"] = (0..self.members).map(|n| format!("vm{n}")).collect();
            vms.push(Vm::start(dir.path(), &settings));
            all_settings.push(settings);
        }
        let peers = vms.iter().map(|vm| vm.addresses.peers).collect::<Vec<_>>();
        for (vm, settings) in vms.iter_mut().zip(all_settings) {
            vm.pin(settings, &peers);
        }
        let fleet = Fleet {
            _dir: dir,
            engines: self.engines,
            registries: self.registries,
            vms,
        };
        let document = Box::new(self.document);
        fleet.change(0, Change::Apply { document }).await;
        fleet.wait_until_ready().await;
        fleet
    }

    fn fill(&mut self) {
        let document = &mut self.document;
        if !document.workspaces.is_empty() {
            return;
        }
        let call = |method: &str, once, path: &str| Call {
            method: method.into(),
            once,
            path: path.into(),
        };
        let service = Service {
            calls: vec![
                call("POST", true, "certificates"),
                call("GET", false, "certificates/*"),
            ],
            tokens_per_call: 1,
        };
        document.services.insert("registry".into(), service);
        let workspace = Workspace {
            burst: 1_000_000,
            home: self.regions[0].clone(),
            rate: 1_000_000,
            residency: self.regions.iter().cloned().collect(),
        };
        document.workspaces.insert("akademi".into(), workspace);
        let key = Key {
            hash: KeyHash::from_secret(KEY),
            withdrawn: false,
            workspace: "akademi".into(),
        };
        document.keys.insert("k1".into(), key);
    }

    fn upstream(&mut self, name: &str, stand_in: &StandIn, kind: UpstreamKind) {
        let region = self.regions.last().unwrap().clone();
        let upstream = stand_in.as_kind(&region, kind);
        self.document.upstreams.insert(name.into(), upstream);
    }
}

impl Fleet {
    /// Writes what the settings of every VM name.
    pub(crate) fn write_secrets(dir: &Path) {
        fs::write(dir.join("operator"), OPERATOR).unwrap();
        fs::write(dir.join("secret"), SECRET).unwrap();
    }

    pub(crate) fn secret() -> Secret {
        Secret::new(SECRET.as_bytes()).unwrap()
    }

    /// Puts a change in force on every VM, and returns the version it made.
    pub(crate) async fn change(&self, expected: Version, change: Change) -> Version {
        let version = self.change_through(0, expected, change).await;
        self.wait_for_version(0..self.vms.len(), version).await;
        version
    }

    /// Has a change accepted through one VM, asking again under the same request id until one
    /// answer comes.
    pub(crate) async fn change_through(
        &self,
        vm: usize,
        expected: Version,
        change: Change,
    ) -> Version {
        let req = ChangeRequest {
            change,
            expected_version: Some(expected),
            request_id: format!("change-{expected}").into(),
        };
        let body = serde_json::to_string(&req).unwrap();
        for _ in 0..100 {
            let vm = &self.vms[vm];
            let answer = vm.operate("POST", "/v1/operator/changes", &body).await;
            if answer.status == 503 {
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
            match answer.json() {
                ChangeOutcome::Accepted { version } => return version,
                outcome => panic!("{outcome:?}"),
            }
        }
        panic!("the change is not accepted");
    }

    /// Number of the VM that leads the replicated group, as another one sees it.
    pub(crate) async fn leader(&self, seen_by: usize) -> usize {
        for _ in 0..2_000 {
            let vm = &self.vms[seen_by];
            let answer = vm.operate("GET", "/v1/operator/status", "").await;
            let status = answer.json::<OperatorStatus>();
            let leader = status.groups.iter().find_map(|group| group.leader.clone());
            if let Some(leader) = leader {
                let mut vms = self.vms.iter();
                return vms.position(|vm| *vm.name == *leader).unwrap();
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("no leader is known");
    }

    /// Waits until every VM serves.
    pub(crate) async fn wait_until_ready(&self) {
        for vm in &self.vms {
            for _ in 0..2_000 {
                if vm.call(KEY, "GET", "/v1/health", "").await.status == 200 {
                    break;
                }
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Members of the replicated group on a VM, as vm0 sees them.
    pub(crate) async fn members_on(&self, vm: usize) -> Vec<GroupMemberStatus> {
        let answer = self.vms[0].operate("GET", "/v1/operator/status", "").await;
        let groups = answer.json::<OperatorStatus>().groups;
        let members = groups.into_iter().flat_map(|group| group.members);
        members
            .filter(|member| *member.vm == *self.vms[vm].name)
            .collect()
    }

    /// Waits until a VM that came back with a new disk counts in quorums, and `old` no longer does.
    pub(crate) async fn wait_until_replaced(&self, vm: usize, old: &[GroupMemberStatus]) {
        for _ in 0..2_000 {
            let members = self.members_on(vm).await;
            let replaced = members.len() == 1 && members[0].voter;
            if replaced && members[0].incarnation != old[0].incarnation {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("vm{vm} is not taken in again");
    }

    /// Waits until these VMs have this version.
    pub(crate) async fn wait_for_version(&self, vms: Range<usize>, version: Version) {
        for vm in &self.vms[vms] {
            for _ in 0..2_000 {
                let answer = vm.operate("GET", "/v1/operator/document", "").await;
                if answer.json::<Document>().version >= version {
                    break;
                }
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}
