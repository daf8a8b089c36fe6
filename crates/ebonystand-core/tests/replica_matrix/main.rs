//! Fault matrix of the replicated log: every fault, and every pair of faults, at every step.
//!
//! `REPLICA_CELL=n` runs only cell `n` of each table; a failing cell prints its number.

mod cell;
mod net;
mod node;
mod observer;
mod power_loss;

use {
    cell::{Cell, Fault, Step, Victim},
    power_loss::PowerLoss,
    std::{panic::catch_unwind, thread},
};

/// Builds the table of all first faults, steps and victims for each of the second faults.
fn cells(seconds: &[Option<Fault>]) -> Vec<Cell> {
    let mut cells = Vec::new();
    for first in Fault::ALL {
        for step in Step::ALL {
            for victim in Victim::ALL {
                for &second in seconds {
                    cells.push(Cell {
                        first,
                        second,
                        seed: cells.len() as u64,
                        step,
                        victim,
                    });
                }
            }
        }
    }
    cells
}

/// Runs a table with one thread for each first fault, and prints every cell that fails.
fn run_table(name: &str, cells: &[Cell]) {
    let only: Option<u64> = std::env::var("REPLICA_CELL")
        .ok()
        .and_then(|cell| cell.parse().ok());
    let failed: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = cells
            .chunk_by(|a, b| a.first == b.first)
            .map(|row| scope.spawn(move || failing(row, only)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("cells catch their panics"))
            .collect()
    });
    println!("{name}: {} cells, {} failed", cells.len(), failed.len());
    for cell in &failed {
        println!(
            "REPLICA_CELL={} cargo test -p ebonystand-core --test replica_matrix {name}: {cell:?}",
            cell.seed
        );
    }
    assert!(failed.is_empty());
}

/// Runs the cells of a row and returns those that fail.
fn failing(row: &[Cell], only: Option<u64>) -> Vec<Cell> {
    row.iter()
        .filter(|cell| only.is_none_or(|seed| seed == cell.seed))
        .filter(|cell| catch_unwind(|| cell.run()).is_err())
        .copied()
        .collect()
}

/// One fault occurs at one step while a caller's commands are being acknowledged. No acknowledged
/// command may be lost, no index committed with two different entries, no term may have two
/// leaders, no lease may run beside another leader, and the group must work again afterwards.
#[test]
fn every_fault_at_every_step() {
    run_table("every_fault_at_every_step", &cells(&[None]));
}

/// The same with a second fault while the group recovers from the first one. A second disk is lost
/// only after recovery from the loss of the first.
#[test]
fn every_pair_of_faults_at_every_step() {
    let seconds = Fault::ALL.map(Some);
    run_table("every_pair_of_faults_at_every_step", &cells(&seconds));
}

/// Guards against acknowledged commands that are gone after all VMs lost power at one moment, at any step, and as many as
/// may be lost at once came back without their disks.
#[test]
fn power_lost_by_all_as_disks_are_lost() {
    const MOMENTS: u64 = 40;
    let vms: [&[&str]; 2] = [&["a", "b", "c"], &["a", "b", "c", "e", "f"]];
    let losses = vms.into_iter().flat_map(|vms| {
        let disks = 0..=vms.len() / 2;
        let steps = Step::ALL.into_iter().filter(|step| *step != Step::Members);
        steps.flat_map(move |step| {
            let disks = disks.clone();
            disks.flat_map(move |disks| {
                (0..MOMENTS).map(move |seed| PowerLoss {
                    disks,
                    seed,
                    step,
                    vms,
                })
            })
        })
    });
    let failed = losses.filter(|loss| catch_unwind(|| loss.run()).is_err());
    let failed = failed.collect::<Vec<_>>();
    assert!(failed.is_empty(), "{failed:?}");
}
