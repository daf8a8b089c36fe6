use super::*;

/// Self-description that a VM publishes by gossip.
///
/// Only the VM itself publishes a new record, with a higher `(incarnation, heartbeat)`. A copy
/// relayed by other VMs therefore never replaces a newer record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecord {
    /// Amount of callers' work that the VM can carry while it is not near a limit.
    pub capacity: VmCapacity,
    /// Times that the capacity is halved at present, because the VM is near a limit.
    pub capacity_halvings: u8,
    /// Address where the VM takes requests forwarded by VMs of other regions, if it takes any.
    pub forwards: Option<SocketAddr>,
    /// Number of records published in this incarnation.
    pub heartbeat: u64,
    /// Whether the VM has a data folder and asks to be a member of the replicated log.
    pub holds_log: bool,
    /// Address where the VM listens for callers and operators.
    pub http: SocketAddr,
    /// Number that grows with each start of the VM's process, for example its wall-clock time in
    /// milliseconds.
    pub incarnation: Incarnation,
    /// Whether the VM finishes its open requests and takes no new work.
    pub leaving: bool,
    /// Address where the VM listens for other VMs.
    pub peer: SocketAddr,
    /// Region of the VM.
    pub region: RegionId,
    /// Whether callers may be sent to the VM now.
    pub takes_callers: bool,
    /// Version of the configuration in force on the VM when it last sent a datagram to the holder
    /// of this copy.
    pub version: Version,
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
}

impl VmRecord {
    /// Returns the identifier of this record, which suffices for VMs that already hold it.
    #[must_use]
    pub fn id(&self) -> VmRecordId {
        VmRecordId {
            heartbeat: self.heartbeat,
            incarnation: self.incarnation,
            vm: self.vm.clone(),
        }
    }

    /// Returns the amount of callers' work that the VM can carry at present.
    #[must_use]
    pub fn present_capacity(&self) -> VmCapacity {
        self.capacity.halved(self.capacity_halvings)
    }

    /// Returns the pair that orders the records of one VM; the highest is the newest.
    pub(crate) fn epoch(&self) -> (Incarnation, u64) {
        (self.incarnation, self.heartbeat)
    }

    /// Returns an upper bound of the encoded length in bytes.
    pub(crate) fn max_encoded_len(&self) -> usize {
        text_encoded_len(&self.region)
            + text_encoded_len(&self.vm)
            + text_encoded_len(&self.zone)
            + varint_encoded_len(self.capacity.permille().into())
            + varint_encoded_len(self.heartbeat)
            + varint_encoded_len(self.incarnation)
            + varint_encoded_len(self.version)
            + address_encoded_len(self.http)
            + address_encoded_len(self.peer)
            + self.forwards.map_or(0, address_encoded_len)
            + 5
    }
}
