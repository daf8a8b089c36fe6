use super::*;

/// Withdrawal of a key that the log may not have yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// Name of the withdrawn key.
    pub key: KeyId,
    /// Version of the configuration on the VM that accepted the withdrawal; the key exists in that
    /// version.
    pub version: Version,
}
