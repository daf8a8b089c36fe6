use super::*;

/// Amount of callers' work that a VM can carry, in thousandths of [`VmResources::REFERENCE`].
///
/// Only ratios between the capacities of VMs count; VMs without a figure count as the reference.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VmCapacity(u16);

impl VmCapacity {
    /// Capacity of [`VmResources::REFERENCE`].
    pub const REFERENCE: Self = Self(1_000);

    /// Creates a capacity of `permille` thousandths of the reference, at least one.
    #[must_use]
    pub fn new(permille: u16) -> Self {
        Self(permille.max(1))
    }

    /// Returns the capacity in thousandths of the reference; never 0.
    #[must_use]
    pub fn permille(self) -> u16 {
        // A record that was received can hold any number.
        self.0.max(1)
    }

    /// Returns the capacity halved `times` times.
    #[must_use]
    pub fn halved(self, times: u8) -> Self {
        Self::new(self.0.checked_shr(times.into()).unwrap_or(0))
    }
}

impl Default for VmCapacity {
    fn default() -> Self {
        Self::REFERENCE
    }
}
