use super::*;

/// Newest known record of a VM, with the state that the local VM believes it to be in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmEntry {
    /// Whether the platform's list shows this incarnation as leaving.
    pub hinted_leaving: bool,
    /// Newest known record of the VM.
    pub record: VmRecord,
    /// State that the local VM believes the VM to be in.
    pub state: VmState,
}

impl VmEntry {
    /// Returns whether the VM must get no new work, by its own record or by the platform's list.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.record.leaving || self.hinted_leaving
    }

    pub(crate) fn is_dead(&self) -> bool {
        matches!(self.state, VmState::Dead { .. })
    }
}
