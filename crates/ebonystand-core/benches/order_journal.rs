//! Cost of a grant against the number of records, and the size of a record.

use {
    criterion::{Criterion, criterion_group, criterion_main},
    ebonystand_core::{BodyHash, OrderCommand, OrderHolder, OrderId, OrderJournal, OrderLimits},
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

const AT: u64 = 1_796_253_227;
/// Grants that are timed on one copy of a journal, so that it stays near its size.
const CHUNK: usize = 500;

fn grant(n: usize) -> OrderCommand {
    OrderCommand::Grant {
        at: AT,
        body: BodyHash::from_request("POST", "/orders", b"order"),
        holder: OrderHolder {
            attempt: n as u64,
            incarnation: 0x1234_5678_9abc_def0,
            vm: "utara-a-1".into(),
        },
        id: OrderId {
            key: format!("utara/{}-certificate.{n:08}", AT - (n % 86_400) as u64).into(),
            workspace: format!("workspace-{:05}", n % 1_000).into(),
        },
    }
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) << 10
}

fn benches(c: &mut Criterion) {
    let limits = OrderLimits {
        records: usize::MAX,
        records_per_workspace: usize::MAX,
        ..OrderLimits::default()
    };
    for records in [1_000, 100_000] {
        let before = resident();
        let mut journal = OrderJournal::new(limits, 0);
        for n in 0..records {
            journal.apply(&grant(n));
        }
        let memory = resident().saturating_sub(before) / records;
        let snapshot = postcard::to_stdvec(&journal).map_or(0, |bytes| bytes.len()) / records;
        println!("{records} records: {memory} B resident, {snapshot} B of snapshot each");
        c.bench_function(&format!("grant at {records} records"), |b| {
            b.iter_custom(|iters| {
                let mut spent = Duration::ZERO;
                for start in (0..iters as usize).step_by(CHUNK) {
                    let mut journal = journal.clone();
                    let end = (start + CHUNK).min(iters as usize);
                    let grants: Vec<_> = (start..end).map(|n| grant(records + n)).collect();
                    let at = Instant::now();
                    for grant in &grants {
                        black_box(journal.apply(grant));
                    }
                    spent += at.elapsed();
                }
                spent
            });
        });
    }
}

criterion_group!(group, benches);
criterion_main!(group);
