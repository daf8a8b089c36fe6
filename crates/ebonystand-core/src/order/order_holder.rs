use super::*;

/// One attempt of one process to run an order.
///
/// Two attempts never share a holder. A grant is answered alike however often its holder asks, so
/// a holder that came back for another attempt would dispatch the order a second time.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{vm}/{incarnation}/{attempt}")]
pub struct OrderHolder {
    /// Number of the attempt in the process.
    pub attempt: u64,
    /// Number of the process, drawn at each of its starts, also on a VM that kept its disk.
    pub incarnation: Incarnation,
    /// VM that the process runs on.
    pub vm: VmId,
}
