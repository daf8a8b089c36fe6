//! Small fleet for tests and benches of routing.
#![allow(dead_code)]

pub mod simulation;

use {ebonystand_core::*, std::collections::BTreeSet, std::time::Duration};

/// Regions of the fleet; the router under test is in the first one.
pub const REGIONS: [&str; 3] = ["armor", "argoat", "iroise"];

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the place in the zone `a` of `region`.
pub fn place(region: &str) -> Place {
    Place {
        region: region.into(),
        zone: "a".into(),
    }
}

/// Returns a document with `upstreams[n]` upstreams in the region `n`, named `REGION-NUMBER`, that
/// serve the model `advice`.
pub fn document(upstreams: &[usize]) -> Document {
    let mut document = Document {
        version: 1,
        ..Document::default()
    };
    let names = (0..upstreams.len()).map(|n| match REGIONS.get(n) {
        Some(name) => (*name).to_owned(),
        None => format!("region-{n}"),
    });
    let names = names.collect::<Vec<_>>();
    for (region, count) in names.iter().zip(upstreams) {
        let links = names.iter().filter(|to| *to != region);
        let link = Link {
            delay_ms: 15,
            megabits: 120,
        };
        let region_id = RegionId::from(&**region);
        document.regions.insert(
            region_id.clone(),
            Region {
                holders: Vec::new(),
                links: links
                    .map(|to| (RegionId::from(&**to), link.clone()))
                    .collect(),
            },
        );
        for number in 0..*count {
            document
                .upstreams
                .insert(format!("{region}-{number}").into(), upstream(region, 1_000));
        }
    }
    document
}

/// Returns the model that all upstreams of the fleet serve.
pub fn model() -> Target {
    Target::Model("advice".into())
}

/// Returns the query for a request of 800 prompt tokens and up to 200 output tokens.
pub fn query<'a>(target: &'a Target, residency: &'a BTreeSet<RegionId>) -> RouteQuery<'a> {
    RouteQuery {
        deadline: Duration::from_secs(60),
        excluded: &[],
        max_tokens: 200,
        prefix: 0,
        prefix_tokens: 0,
        prompt_tokens: 800,
        residency,
        target,
        workspace: "w",
    }
}

pub fn regions(names: &[&str]) -> BTreeSet<RegionId> {
    names.iter().copied().map(RegionId::from).collect()
}

/// Returns the load report of an upstream with eight slots, all of which are in use if tokens are
/// queued.
pub fn report(queued_tokens: Tokens) -> LoadReport {
    LoadReport {
        queued_tokens,
        running: if queued_tokens > 0 { 8 } else { 0 },
        slots: 8,
        ..LoadReport::default()
    }
}

/// Returns a router in the first region, configured with `document`.
pub fn router(document: &Document) -> Router {
    let mut router = Router::new(place(REGIONS[0]), 7);
    router.configure(Duration::ZERO, document);
    router
}

/// Returns an upstream that serves the model `advice`.
pub fn upstream(region: &str, speed: u64) -> Upstream {
    Upstream {
        address: ([127, 0, 0, 1], 8_000).into(),
        cost: 1,
        enforces_fencing: false,
        kind: UpstreamKind::Model {
            models: BTreeSet::from(["advice".into()]),
        },
        leaving: false,
        region: region.into(),
        speed,
        zone: "a".into(),
    }
}
