//! Time of a change at 5, 1,000 and 36,000 workspaces, each with a key.

use {
    criterion::{Criterion, criterion_group, criterion_main},
    ebonystand_core::*,
    std::hint::black_box,
};

fn catalog(workspaces: usize) -> Catalog {
    let mut document = Document {
        regions: [("r0".into(), Region::default())].into(),
        version: 1,
        ..Document::default()
    };
    for number in 0..workspaces {
        let id: WorkspaceId = format!("w{number:05}").into();
        let key = Key {
            hash: KeyHash::from_secret(&id),
            withdrawn: false,
            workspace: id.clone(),
        };
        document.keys.insert(format!("k{number:05}").into(), key);
        document.workspaces.insert(id, workspace(1));
    }
    let mut catalog = Catalog::default();
    catalog.install_document(document);
    catalog
}

fn workspace(rate: u64) -> Workspace {
    Workspace {
        burst: 1,
        home: "r0".into(),
        rate,
        residency: ["r0".into()].into(),
    }
}

fn changes(c: &mut Criterion) {
    for workspaces in [5, 1_000, 36_000] {
        let mut catalog = catalog(workspaces);
        c.bench_function(&format!("change at {workspaces} workspaces"), |bencher| {
            bencher.iter(|| {
                let version = catalog.version();
                black_box(catalog.apply(&ChangeRequest {
                    change: Change::PutWorkspace {
                        id: "w00003".into(),
                        workspace: workspace(version),
                    },
                    expected_version: Some(version),
                    request_id: version.to_string().into(),
                }))
            });
        });
    }
}

criterion_group!(benches, changes);
criterion_main!(benches);
