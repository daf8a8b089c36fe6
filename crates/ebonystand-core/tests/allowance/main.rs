//! Tests of the fleet-wide allowance: the bound on each window, leases, grants and admission under
//! load.

use {
    ebonystand_core::{
        Admission, Allowance, AllowanceAction, AllowanceMessage, AllowanceOutput, Document, Link,
        Region, RegionId, Reservation, TicketId, Tokens, VmId, Workspace, WorkspaceId,
    },
    fleet::{Fleet, Noise, Request},
    matrix::{Fault, Step, moved_holder, overload},
    observer::{Bound, admitted_by_buckets, check_windows, count_wrongful_refusals},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

mod demand;
mod fleet;
mod hot;
mod lease;
mod matrix;
mod observer;
mod window;

const BURST: Tokens = 2_000;
const RATE: Tokens = 1_000;

/// Configuration of three regions 30 ms apart, with one workspace `w` served in all of them.
fn document() -> Document {
    let names: [RegionId; 3] = ["a".into(), "b".into(), "c".into()];
    let link = Link {
        delay_ms: 30,
        megabits: 1_000,
    };
    let links = |from: &RegionId| {
        let others = names.iter().filter(|to| *to != from);
        others.map(|to| (to.clone(), link.clone())).collect()
    };
    let mut document = Document {
        version: 1,
        ..Document::default()
    };
    for name in &names {
        let region = Region {
            holders: vec![format!("vm-{name}-0").into()],
            links: links(name),
        };
        document.regions.insert(name.clone(), region);
    }
    let workspace = Workspace {
        burst: BURST,
        home: "a".into(),
        rate: RATE,
        residency: names.into_iter().collect(),
    };
    document.workspaces.insert("w".into(), workspace);
    document
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Bound that holds from the start of a test.
fn bound(rate: Tokens, burst: Tokens) -> Bound {
    let from = Duration::ZERO;
    Bound { burst, from, rate }
}

fn set_rate(document: &mut Document, rate: Tokens, burst: Tokens) {
    for workspace in document.workspaces.values_mut() {
        (workspace.rate, workspace.burst) = (rate, burst);
    }
}
