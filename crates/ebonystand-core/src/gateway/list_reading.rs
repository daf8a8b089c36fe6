use super::*;

/// When a list was read, by the clock of the process that read it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListReading {
    /// Time in milliseconds at which the read began.
    pub began_ms: u64,
    /// Incarnation of the reader's process.
    pub incarnation: Incarnation,
    /// VM that read the list.
    pub reader: VmId,
}
