//! Time of a choice between engines, over their number, and of telling the load at them.

use {
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    ebonystand_core::{
        ChoiceQuery, ColdTerms, EngineSpec, ListScope, ListedUpstream, Place, Prompt, PromptPart,
        SharedPrefix, SoftwareRule, UpstreamBook,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        hint::black_box,
        time::Duration,
    },
};

/// Engines that keep each shared beginning.
const HOLDERS: u64 = 8;
const NOW: Duration = Duration::from_secs(60);

/// Book of a VM in the first of three regions of two zones each, over which the engines are spread.
fn book(engines: u64) -> UpstreamBook {
    let zones = (0..6).map(|zone| (zone_name(zone), region_name(zone / 2)));
    let place = Place {
        region: region_name(0),
        zone: zone_name(0),
    };
    let mut book = UpstreamBook::new("vm".into(), place, zones.collect::<BTreeMap<_, _>>());
    let listed = (0..engines).map(|engine| ListedUpstream {
        address: ([10, 0, 0, 1], 1_000 + engine as u16).into(),
        cold_for: Duration::ZERO,
        instance: name(engine),
        leaving: false,
        service: "s".into(),
        slots: 64,
        software: "v1".into(),
        zone: zone_name(engine % 6),
    });
    book.update_list(Duration::ZERO, ListScope::AllRegions, listed);
    for shared in 0..100 {
        let prefixes = SharedPrefix::list_in(&prompt(shared));
        for holder in 0..HOLDERS {
            let engine = name((shared + holder * 5) % engines);
            book.record_cached_prefixes(NOW, &engine, &prefixes, None);
        }
    }
    book
}

fn name(engine: u64) -> Box<str> {
    format!("i-{engine:08x}").into()
}

fn prompt(shared: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt {
        input: 12_000,
        model: "m".into(),
        output: 400,
        parts: vec![
            part(1, 500),
            part(1_000 + shared, 4_900),
            part(9_999, 6_600),
        ],
    }
}

fn region_name(region: u64) -> Box<str> {
    format!("region-{region}").into()
}

fn zone_name(zone: u64) -> Box<str> {
    format!("region-{}-{}", zone / 2, zone % 2).into()
}

fn benches(c: &mut Criterion) {
    let (evacuated, reachable) = (BTreeSet::new(), BTreeSet::from([region_name(1)]));
    let mut group = c.benchmark_group("choice");
    for engines in [10, 60, 240, 4_000, 20_000] {
        let book = book(engines);
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| {
                next = (next + 1) % 100;
                let prompt = prompt(next);
                let query = ChoiceQuery {
                    first_byte_target: Duration::from_millis(1_200),
                    cold: ColdTerms::default(),
                    engine: Some(EngineSpec::default()),
                    evacuated: &evacuated,
                    excluded: &[],
                    homes: None,
                    remaining_time: Duration::from_secs(12),
                    prompt: Some(&prompt),
                    reachable: &reachable,
                    service: "s",
                    software: SoftwareRule::Any,
                };
                black_box(book.choose_target(NOW, &query))
            });
        });
    }
    group.finish();
}

criterion_group!(choice, benches);
criterion_main!(choice);
