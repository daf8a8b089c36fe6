use super::*;

/// What a VM says of itself.
///
/// Only the VM itself writes a new one, with a higher `(incarnation, heartbeat)`. A copy that
/// travels through others therefore never replaces a newer one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecord {
    /// Where it takes requests that VMs of other regions forward, if it does.
    pub forwards: Option<SocketAddr>,
    /// Counts the records of this incarnation.
    pub heartbeat: u64,
    /// It has a data folder and asks to be a member of the replicated log.
    pub holds_log: bool,
    /// Where it listens for callers and operators.
    pub http: SocketAddr,
    /// Grows with each start of the VM's process, for example its wall-clock time in milliseconds.
    pub incarnation: Incarnation,
    /// It finishes what it has and takes no new work.
    pub leaving: bool,
    /// Where it listens for other VMs.
    pub peer: SocketAddr,
    /// Region it stands in.
    pub region: RegionId,
    /// Callers may be sent to it now.
    pub takes_callers: bool,
    /// Version of the configuration in force on it when it last spoke to whoever holds the record.
    pub version: Version,
    /// Its name.
    pub vm: VmId,
    /// Availability zone it stands in.
    pub zone: ZoneId,
}

impl VmRecord {
    /// The record without what only matters to new VMs.
    #[must_use]
    pub fn mark(&self) -> VmMark {
        VmMark {
            heartbeat: self.heartbeat,
            incarnation: self.incarnation,
            vm: self.vm.clone(),
        }
    }

    pub(crate) fn age(&self) -> (Incarnation, u64) {
        (self.incarnation, self.heartbeat)
    }

    /// Encoded length in bytes, at most.
    pub(crate) fn weight(&self) -> usize {
        text_encoded_len(&self.region)
            + text_encoded_len(&self.vm)
            + text_encoded_len(&self.zone)
            + varint_encoded_len(self.heartbeat)
            + varint_encoded_len(self.incarnation)
            + varint_encoded_len(self.version)
            + address_encoded_len(self.http)
            + address_encoded_len(self.peer)
            + self.forwards.map_or(0, address_encoded_len)
            + 4
    }
}
