use super::*;

/// Source of the holders of one process.
#[derive(Debug)]
pub struct OrderHolderSource {
    attempts: u64,
    incarnation: Incarnation,
    vm: VmId,
}

impl OrderHolderSource {
    /// Source for a process that has just started. `incarnation` must be drawn at this very start
    /// (64 random bits): one read back from a disk would give the holders of the process before.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            attempts: 0,
            incarnation,
            vm,
        }
    }

    /// A holder that was never given before.
    #[must_use]
    pub fn next_holder(&mut self) -> OrderHolder {
        self.attempts += 1;
        OrderHolder {
            attempt: self.attempts,
            incarnation: self.incarnation,
            vm: self.vm.clone(),
        }
    }
}
