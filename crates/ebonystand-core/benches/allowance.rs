//! Time of an admission, memory of a workspace, and messages of leases, over the number of
//! workspaces. One VM holds all parts; another one borrows from it.

use {
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    ebonystand_core::{
        Admission, Allowance, AllowanceOutput, Document, LeaseTerms, Region, Workspace,
    },
    std::{collections::VecDeque, hint::black_box, time::Duration},
};

const STEP: Duration = Duration::from_millis(10);

fn document(workspaces: usize) -> Document {
    let mut document = Document::default();
    let holders = vec!["holder".into()];
    let links = Default::default();
    document
        .regions
        .insert("a".into(), Region { holders, links });
    for number in 0..workspaces {
        let workspace = Workspace {
            burst: 1 << 40,
            home: "a".into(),
            rate: 1 << 40,
            residency: ["a".into()].into(),
        };
        document.workspaces.insert(name(number), workspace);
    }
    document
}

fn name(number: usize) -> Box<str> {
    format!("workspace-{number:05}").into()
}

fn start(vm: &str, document: &Document) -> Allowance {
    let mut allowance = Allowance::new(vm.into(), 1, "a".into(), Duration::ZERO);
    allowance.configure(Duration::ZERO, document);
    allowance.complete_start(Duration::ZERO);
    for step in 0..5 {
        allowance.tick(Duration::from_secs(step));
    }
    allowance
}

/// Resident memory in bytes.
fn memory() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4_096
}

fn admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit and settle");
    for workspaces in [5, 1_000, 36_000] {
        let document = document(workspaces);
        let before = memory();
        let mut allowance = start("holder", &document);
        let planned = memory();
        let names: Vec<Box<str>> = (0..workspaces).map(name).collect();
        let mut now = Duration::from_secs(5);
        let mut next = 0;
        let mut admit = || {
            now += Duration::from_nanos(500);
            next = (next + 7_919) % workspaces;
            let admission = allowance.admit_request(now, &names[next], 500);
            let Admission::Granted(reservation) = black_box(admission) else {
                panic!("the part is large enough");
            };
            allowance.settle_reservation(now, reservation, 300);
        };
        (0..workspaces).for_each(|_| admit());
        let (plans, shares) = (planned - before, memory() - planned);
        println!("{workspaces} workspaces: plans {plans} B, shares in use {shares} B");
        let id = BenchmarkId::from_parameter(workspaces);
        group.bench_function(id, |bencher| bencher.iter(&mut admit));
    }
}

/// Counts what a borrower and its holder send in ten simulated seconds.
fn messages(_: &mut Criterion) {
    for workspaces in [100, 1_000, 8_000] {
        let document = document(workspaces);
        let mut vms = [start("holder", &document), start("borrower", &document)];
        let ids = ["holder".into(), "borrower".into()];
        let before = memory();
        let (mut counts, mut bytes) = ([0, 0], [0, 0]);
        let mut now = Duration::from_secs(5);
        for step in 0..1_000 {
            now += STEP;
            let asks = (0..workspaces).filter(|number| (number + step) % 100 == 0);
            asks.for_each(|number| drop(vms[1].admit_request(now, &name(number), 500)));
            let mut queue: VecDeque<_> = [(0, vms[0].tick(now)), (1, vms[1].tick(now))].into();
            while let Some((from, outputs)) = queue.pop_front() {
                for output in outputs {
                    let AllowanceOutput::Send { message, .. } = output else {
                        continue;
                    };
                    counts[from] += 1;
                    bytes[from] += postcard::to_stdvec(&message).map_or(0, |b| b.len());
                    let answer = vms[1 - from].handle_message(now, &ids[from], message);
                    queue.push_back((1 - from, answer));
                }
            }
        }
        let a_second = |all: [usize; 2]| all.map(|all| all / 10);
        let (counts, bytes) = (a_second(counts), a_second(bytes));
        let held = (memory() - before) / workspaces;
        println!(
            "{workspaces} in use: {held} B each on both, [holder, borrower] messages {counts:?}/s, {bytes:?} B/s"
        );
    }
    println!("renewal at multiples of {:?}", LeaseTerms::RENEWAL_INTERVAL);
}

criterion_group!(benches, admit, messages);
criterion_main!(benches);
