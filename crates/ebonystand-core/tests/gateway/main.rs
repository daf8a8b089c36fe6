//! Request routing of the gateway: which configuration is accepted, where a request goes and what
//! its caller is told.

mod answer_times;
mod caches;
mod configuration;
mod cut_path;
mod directory;
mod hot_part;
mod limits;
mod list;
mod load;
mod next_step;
mod notices;
mod region_play;
mod region_room;
mod room_queue;
mod shortlist;
mod software;
mod speeds;
mod uneven_vms;
mod upstreams;
mod zone_loss;

use {
    ebonystand_core::*,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Engines that transfer a cached token to another engine in 0.3 µs.
pub(crate) const ENGINE: EngineSpec = EngineSpec {
    cache_tokens: 400_000,
    event_tokens: 10,
    link_mbps: 400_000,
    token_bytes: 16_384,
};

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn set(names: &[&str]) -> BTreeSet<Box<str>> {
    names.iter().map(|name| Box::from(*name)).collect()
}

/// Route of host `h` that sends all requests to service `s`.
pub(crate) fn route(name: &str, prefix: &str) -> GatewayRoute {
    GatewayRoute {
        aim_ms: 800,
        attempts: 2,
        has_prompts: false,
        homes: BTreeSet::new(),
        host: "h".into(),
        kind: CallKind::Idempotent,
        name: name.into(),
        pause_ms: 600,
        prefix: prefix.into(),
        public: false,
        rank: 0,
        resumable: false,
        split: vec![SplitPart {
            service: "s".into(),
            weight: 1,
        }],
        timeout_ms: 3_000,
    }
}

pub(crate) fn workspace(name: &str, secrets: &[&str]) -> GatewayWorkspace {
    GatewayWorkspace {
        call_tokens: 200,
        homes: BTreeSet::new(),
        keys: secrets
            .iter()
            .map(|secret| KeyHash::from_secret(secret))
            .collect(),
        name: name.into(),
        quota: Some(Quota {
            burst: 1_000,
            rate: 1_000,
            unit: QuotaUnit::Tokens,
        }),
        rank: None,
    }
}

pub(crate) fn service(name: &str) -> GatewayService {
    GatewayService {
        cold: ColdTerms {
            per_s: 2.4,
            span_ms: 3_000,
        },
        connections: 100,
        engine: Some(ENGINE),
        health_path: "/health".into(),
        name: name.into(),
    }
}

pub(crate) fn routing(revision: u64) -> Routing {
    Routing {
        revision,
        routes: vec![route("r", "/a/")],
        services: vec![service("s")],
        source: format!("revision {revision}").into(),
        workspaces: vec![workspace("w", &["key"])],
    }
}

pub(crate) fn listed(instance: &str, zone: &str, port: u16) -> ListedUpstream {
    ListedUpstream {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        cold_for: Duration::ZERO,
        instance: instance.into(),
        leaving: false,
        service: "s".into(),
        slots: 64,
        software: "v1".into(),
        zone: zone.into(),
    }
}

/// Live VMs with these names, all in zone `a-1`.
pub(crate) fn region_vms(vms: impl IntoIterator<Item = String>) -> Vec<RegionVm> {
    let vms = vms.into_iter();
    let vms = vms.map(|vm| RegionVm {
        capacity: VmCapacity::REFERENCE,
        is_staying: true,
        vm: vm.into(),
        zone: "a-1".into(),
    });
    vms.collect()
}

/// Book of a VM in region `a`; zones `a-1` and `a-2` belong to region `a`, `b-1` to region `b`.
pub(crate) fn book(upstreams: Vec<ListedUpstream>) -> UpstreamBook {
    book_of("vm", upstreams)
}

pub(crate) fn book_of(vm: &str, upstreams: Vec<ListedUpstream>) -> UpstreamBook {
    let zones = [("a-1", "a"), ("a-2", "a"), ("b-1", "b")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    let place = Place {
        region: "a".into(),
        zone: "a-1".into(),
    };
    let mut book = UpstreamBook::new(vm.into(), place, BTreeMap::from(zones));
    book.update_list(ms(0), ListScope::AllRegions, upstreams);
    book
}

pub(crate) fn prompt(shared: u64, own: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        input: 6_500,
        model: "m".into(),
        output: 100,
        parts: vec![part(1, 500), part(shared, 5_000), part(own, 1_000)],
    }
}

/// Latency of a region whose answers begin after `n` milliseconds.
pub(crate) fn first_byte(n: u64) -> ServiceLatency {
    ServiceLatency {
        event_gap: Duration::ZERO,
        first_byte: ms(n),
        offered: None,
    }
}

/// Owner of the sets that a [`ChoiceQuery`] borrows.
#[derive(Default)]
pub(crate) struct Sets {
    pub(crate) evacuated: BTreeSet<Box<str>>,
    pub(crate) excluded: Vec<Box<str>>,
    pub(crate) homes: Option<BTreeSet<Box<str>>>,
    pub(crate) reachable: BTreeSet<Box<str>>,
}

impl Sets {
    pub(crate) fn query<'a>(&'a self, prompt: Option<&'a Prompt>) -> ChoiceQuery<'a> {
        ChoiceQuery {
            first_byte_target: ms(800),
            cold: service("s").cold,
            engine: Some(ENGINE),
            evacuated: &self.evacuated,
            excluded: &self.excluded,
            homes: self.homes.as_ref(),
            remaining_time: ms(3_000),
            prompt,
            reachable: &self.reachable,
            service: "s",
            software: SoftwareRule::Any,
        }
    }
}

/// Returns the upstream of the own region that the choice sends the request to, if any.
pub(crate) fn instance(choice: &TargetChoice) -> Option<&str> {
    match choice {
        TargetChoice::Upstream { instance, .. } => Some(instance),
        _ => None,
    }
}
