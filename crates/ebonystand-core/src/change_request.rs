use super::*;

/// A change as an operator asks for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// What to change.
    pub change: Change,
    /// Version that the operator has seen. Not needed by one that [`Change::commutes`].
    pub expected_version: Option<Version>,
    /// Name of the request, equal in each resend.
    pub request_id: RequestId,
}

impl ChangeRequest {
    /// Withdrawal of a key. All VMs that ask for it make the same request, so that it counts once.
    #[must_use]
    pub fn withdrawal(key: KeyId) -> Self {
        Self {
            request_id: format!("withdraw:{key}").into(),
            change: Change::WithdrawKey { id: key },
            expected_version: None,
        }
    }
}
