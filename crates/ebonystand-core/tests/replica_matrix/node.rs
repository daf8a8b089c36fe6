//! A simulated VM: its process, disk and clock.

use {
    ebonystand_core::{DurableState, LogIndex, LogRecord, MemberId, PersistToken, Replica, VmId},
    std::time::Duration,
};

/// Batch of records that is being written to disk.
pub struct Batch {
    pub records: Vec<LogRecord>,
    pub synced_at: Duration,
    pub token: PersistToken,
}

/// A VM with a clock, a disk and a replica that can be stopped or frozen.
pub struct Node {
    pub applied: LogIndex,
    pub disk: DurableState,
    pub frozen: bool,
    /// Replica; `None` while the process is down.
    pub replica: Option<Replica>,
    /// Commands applied to the state machine, with their indices.
    pub state: Vec<(LogIndex, Vec<u8>)>,
    /// Rate of the VM's clock, in permille of simulated time.
    pub clock_permille: u32,
    pub unsynced: Vec<Batch>,
}

impl Node {
    pub fn clock(&self, now: Duration) -> Duration {
        now * self.clock_permille / 1_000
    }

    pub fn id(&self, vm: &VmId) -> MemberId {
        MemberId {
            incarnation: self.disk.incarnation,
            vm: vm.clone(),
        }
    }
}
