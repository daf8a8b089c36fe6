//! Time of a routing decision, and bytes that an upstream adds to a router.

#[path = "../tests/common/mod.rs"]
mod common;

use {
    common::*,
    criterion::{Criterion, criterion_group, criterion_main},
    ebonystand_core::*,
    std::{hint::black_box, time::Duration},
};

/// Fleets: regions, and upstreams of each.
const SIZES: [(usize, usize); 4] = [(3, 3), (3, 33), (15, 7), (15, 380)];

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * 4_096
}

fn loaded(document: &Document) -> Router {
    let mut router = router(document);
    for id in document.upstreams.keys() {
        router.record_load_report(Duration::ZERO, id, report(300));
    }
    router
}

fn benches(c: &mut Criterion) {
    let target = model();
    for (regions, upstreams) in SIZES {
        let document = document(&vec![upstreams; regions]);
        let mut router = loaded(&document);
        let residency = document.regions.keys().cloned().collect();
        let mut prefix = 0;
        let name = format!("route/{regions}_regions/{}_upstreams", regions * upstreams);
        c.bench_function(&name, |b| {
            b.iter(|| {
                prefix += 1;
                let query = RouteQuery {
                    prefix: prefix % 1_000,
                    prefix_tokens: 600,
                    ..query(&target, &residency)
                };
                black_box(router.route(ms(prefix / 100), &query))
            });
        });
    }
    let [small, large] = [4, 380].map(|upstreams| {
        let document = document(&[upstreams; 15]);
        let before = resident_bytes();
        let routers = (0..20).map(|_| loaded(&document)).collect::<Vec<_>>();
        (resident_bytes() - before) / black_box(routers).len()
    });
    let added = large.saturating_sub(small) / (376 * 15);
    println!("bytes an upstream adds: {added}");
}

criterion_group!(routing, benches);
criterion_main!(routing);
