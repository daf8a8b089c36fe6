//! Cost and speed of the gossip over simulated time at 9, 100, 500 and 2,200 VMs: run with
//! `cargo bench -p ebonystand-core --bench membership`.

#[path = "../tests/common/vms.rs"]
mod vms;

use {
    ebonystand_core::{MembershipBody, MembershipMessage},
    std::time::{Duration, Instant},
    vms::{VmFleet, is_alive},
};

const SECOND: Duration = Duration::from_secs(1);

fn main() {
    resident_bytes_of_a_record();
    println!(
        "VMs, all know all after s, quiet B/s, failure B/s, leaving known s, failure known s, µs a VM and s"
    );
    for (count, regions) in [(9, 3), (100, 15), (500, 15), (2_200, 15)] {
        measure(count, regions);
    }
}

fn resident_bytes_of_a_record() {
    const RECORDS: usize = 8_000;
    let mut vms = VmFleet::new(1, 1);
    let before = resident_bytes();
    for vm in 1..=RECORDS {
        let from = vms::record(vm, 15);
        let message = MembershipMessage {
            body: MembershipBody::Records { more: false },
            contacts: Vec::new(),
            from,
            updates: Vec::new(),
            withdrawals: 0,
        };
        vms.vms[0].receive(vms.now, message);
    }
    let each = (resident_bytes() - before) / RECORDS as u64;
    println!("a VM record adds {each} bytes of resident memory");
}

/// Resident memory of this process; the second field of `statm`, in pages of 4 KiB.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages = statm.split(' ').nth(1).expect("a second field");
    pages.parse::<u64>().expect("a number") * 4_096
}

fn measure(count: usize, regions: usize) {
    let mut vms = VmFleet::new(count, regions);
    let all = |vms: &VmFleet| (0..count).all(|vm| vms.live(vm) == count);
    let met = vms.run_until(120 * SECOND, all);
    vms.run(30 * SECOND);
    vms.reset();
    let start = Instant::now();
    vms.run(10 * SECOND);
    let processor = start.elapsed().as_micros() / 10 / count as u128;
    let quiet = vms.bytes_each(10 * SECOND);
    let outputs = vms.vms[1].leave(vms.now);
    vms.send(1, outputs);
    let left = vms.run_until(30 * SECOND, |vms| {
        vms.count(1, |_, entry| entry.is_leaving()) == count - 1
    });
    vms.stopped.insert(2);
    vms.reset();
    let dropped = vms.run_until(30 * SECOND, |vms| vms.count(2, is_alive) == 0);
    let busy = vms.bytes_each(dropped.unwrap_or(30 * SECOND));
    println!("{count}, {met:.1?}, {quiet}, {busy}, {left:.1?}, {dropped:.1?}, {processor}");
}
