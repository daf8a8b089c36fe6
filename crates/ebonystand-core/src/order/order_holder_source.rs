use super::*;

/// Generator of the [`OrderHolder`]s of one process.
#[derive(Debug)]
pub struct OrderHolderSource {
    attempts: u64,
    incarnation: Incarnation,
    vm: VmId,
}

impl OrderHolderSource {
    /// Creates the generator at the start of a process. `incarnation` must be 64 random bits drawn
    /// at this start: one read back from disk would repeat the holders of the previous process.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            attempts: 0,
            incarnation,
            vm,
        }
    }

    /// Returns a holder that was never returned before.
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
