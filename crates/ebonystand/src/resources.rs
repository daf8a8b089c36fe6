use super::*;
use {
    ebonystand_core::{VmCapacity, VmResources},
    settings_reader::SettingsReader,
};

/// Resources that the machine of this VM provides, as far as they are configured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resources {
    /// Capacity that this VM advertises, from all resources that are configured.
    pub capacity: VmCapacity,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: Option<u64>,
    /// Processor time per second, in thousandths of a core's.
    pub millicores: Option<u64>,
}

impl Resources {
    const BYTES_PER_MB: f64 = 1e6;

    pub(crate) fn read(reader: &mut SettingsReader) -> Self {
        let cores = reader.positive("cores");
        let link_mbps = reader.positive("link_mbps");
        let memory_mb = reader.positive("memory_mb");
        let share = reader.positive("processor_share");
        let cores = match (cores, share) {
            (None, None) => None,
            (cores, share) => Some(cores.unwrap_or(1.0) * share.unwrap_or(1.0)),
        };
        let resources = VmResources {
            cores,
            link_mbps,
            memory_mb,
        };
        Self {
            capacity: resources.capacity(),
            memory_bytes: memory_mb.map(|memory| (memory * Self::BYTES_PER_MB) as u64),
            millicores: cores.map(|cores| (cores * 1_000.0) as u64),
        }
    }
}
