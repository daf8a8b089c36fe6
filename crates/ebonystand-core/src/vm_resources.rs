use super::*;

/// Resources that the machine of a VM provides; `None` where no figure is configured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VmResources {
    /// Processor time per second of wall-clock time, in cores.
    pub cores: Option<f64>,
    /// Bandwidth of the VM's own link, in Mbit/s.
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in MB.
    pub memory_mb: Option<f64>,
}

impl VmResources {
    /// Machine that capacities are relative to.
    pub const REFERENCE: Self = Self {
        cores: Some(1.0),
        link_mbps: Some(100.0),
        memory_mb: Some(1_024.0),
    };

    /// Returns the capacity that these resources allow: that of the scarcest one relative to
    /// [`Self::REFERENCE`], or the reference's if none is configured.
    #[must_use]
    pub fn capacity(&self) -> VmCapacity {
        let ratios = [
            (self.cores, Self::REFERENCE.cores),
            (self.link_mbps, Self::REFERENCE.link_mbps),
            (self.memory_mb, Self::REFERENCE.memory_mb),
        ];
        let ratios = ratios.into_iter().filter_map(|(own, of)| Some(own? / of?));
        let scarcest = ratios.min_by(f64::total_cmp).unwrap_or(1.0);
        let permille = scarcest * f64::from(VmCapacity::REFERENCE.permille());
        VmCapacity::new(permille.round() as u16)
    }
}
