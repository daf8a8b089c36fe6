use super::*;

/// Identity of one attempt of one process to run an order.
///
/// Two attempts never share a holder. A repeated request for a grant by the same holder gets the
/// same answer, so a holder reused by another attempt would send the order a second time.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{vm}/{incarnation}/{attempt}")]
pub struct OrderHolder {
    /// Number of the attempt within the process.
    pub attempt: u64,
    /// Random number drawn at each start of the process, even if the VM kept its disk.
    pub incarnation: Incarnation,
    /// VM on which the process runs.
    pub vm: VmId,
}
