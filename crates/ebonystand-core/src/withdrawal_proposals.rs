use super::*;

/// Withdrawn keys that the log's leader has proposed but that the document does not show yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct WithdrawalProposals {
    proposed: BTreeMap<KeyId, Duration>,
}

impl WithdrawalProposals {
    /// Time after which a key is proposed again, since a proposal can be lost with its leader.
    const RETRY_AFTER: Duration = Duration::from_secs(2);
    /// Maximum number of keys proposed at once.
    const MAX_BATCH: usize = 16;

    /// Returns the keys to propose now, and records them as proposed.
    pub(crate) fn take_due(&mut self, now: Duration, withdrawals: &Withdrawals) -> Vec<KeyId> {
        self.proposed.retain(|key, at| {
            withdrawals.contains(key) && now.saturating_sub(*at) < Self::RETRY_AFTER
        });
        let due: Vec<_> = withdrawals
            .pending()
            .filter(|key| !self.proposed.contains_key(*key))
            .take(Self::MAX_BATCH)
            .cloned()
            .collect();
        for key in &due {
            self.proposed.insert(key.clone(), now);
        }
        due
    }
}
