use super::*;

/// Gossip datagram between VMs, encoded with `postcard` in at most [`MembershipMessage::MAX_BYTES`]
/// bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembershipMessage {
    /// Kind of the message and its data.
    pub body: MembershipBody,
    /// Latest answers that the sender's region got from other regions; filled only for receivers in
    /// the same region.
    pub contacts: Vec<RegionContact>,
    /// Record of the sender.
    pub from: VmRecord,
    /// Membership updates, the least often transmitted first and then the newest first.
    pub updates: Vec<MembershipUpdate>,
    /// [`Withdrawals::digest`] of the sender's withdrawn keys.
    pub withdrawals: u64,
}

impl MembershipMessage {
    /// Upper bound of the encoded length in bytes.
    ///
    /// It leaves room for the frame that authenticates the sender in a datagram of 1,200 bytes,
    /// which every path carries without fragmentation.
    pub const MAX_BYTES: usize = 1_100;

    /// Maximum number of datagrams that answer one [`MembershipBody::Sync`].
    const MAX_SYNC_REPLIES: usize = 4;

    /// Splits `updates` over as many datagrams as needed, up to
    /// [`MembershipMessage::MAX_SYNC_REPLIES`].
    ///
    /// The last datagram says whether more updates remain.
    pub(crate) fn split_records(
        from: &VmRecord,
        withdrawals: u64,
        updates: impl Iterator<Item = MembershipUpdate>,
    ) -> Vec<Self> {
        let mut updates = updates.peekable();
        let mut messages = Vec::new();
        while messages.len() < Self::MAX_SYNC_REPLIES && updates.peek().is_some() {
            let mut message = Self {
                body: MembershipBody::Records { more: false },
                contacts: Vec::new(),
                from: from.clone(),
                updates: Vec::new(),
                withdrawals,
            };
            let mut room = Self::MAX_BYTES - message.max_encoded_len();
            while let Some(update) = updates.next_if(|update| update.max_encoded_len() <= room) {
                room -= update.max_encoded_len();
                message.updates.push(update);
            }
            messages.push(message);
        }
        if let (Some(last), true) = (messages.last_mut(), updates.peek().is_some()) {
            last.body = MembershipBody::Records { more: true };
        }
        messages
    }

    /// Returns an upper bound of the encoded length in bytes.
    pub(crate) fn max_encoded_len(&self) -> usize {
        /// Bytes that encode the numbers of entries of `contacts` and `updates`, two for each list.
        const LENGTH_PREFIXES: usize = 4;
        LENGTH_PREFIXES
            + self.body.max_encoded_len()
            + self.from.max_encoded_len()
            + varint_encoded_len(self.withdrawals)
            + self
                .contacts
                .iter()
                .map(RegionContact::max_encoded_len)
                .sum::<usize>()
            + self
                .updates
                .iter()
                .map(MembershipUpdate::max_encoded_len)
                .sum::<usize>()
    }
}
