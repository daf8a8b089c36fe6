use super::*;

/// Datagram between VMs, of at most [`MembershipMessage::MAX_BYTES`] encoded with `postcard`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembershipMessage {
    /// Purpose.
    pub body: MembershipBody,
    /// Answers that the sender's region had from other regions; only sent within a region.
    pub contacts: Vec<RegionContact>,
    /// The sender.
    pub from: VmRecord,
    /// News, newest first.
    pub updates: Vec<MembershipUpdate>,
    /// [`Withdrawals::digest`] of the sender.
    pub withdrawals: u64,
}

impl MembershipMessage {
    /// Largest encoded length. It leaves room in a datagram of 1,200 bytes, which every path
    /// carries unfragmented, for the frame that authenticates the sender.
    pub const MAX_BYTES: usize = 1_100;

    /// Datagrams that answer one [`MembershipBody::Sync`], at most.
    const RECORDS: usize = 4;

    /// Datagrams with as many of the updates as they carry. The last one says whether more follow.
    pub(crate) fn records(
        from: &VmRecord,
        withdrawals: u64,
        updates: impl Iterator<Item = MembershipUpdate>,
    ) -> Vec<Self> {
        let mut updates = updates.peekable();
        let mut messages = Vec::new();
        while messages.len() < Self::RECORDS && updates.peek().is_some() {
            let mut message = Self {
                body: MembershipBody::Records { more: false },
                contacts: Vec::new(),
                from: from.clone(),
                updates: Vec::new(),
                withdrawals,
            };
            let mut room = Self::MAX_BYTES - message.weight();
            while let Some(update) = updates.next_if(|update| update.weight() <= room) {
                room -= update.weight();
                message.updates.push(update);
            }
            messages.push(message);
        }
        if let (Some(last), true) = (messages.last_mut(), updates.peek().is_some()) {
            last.body = MembershipBody::Records { more: true };
        }
        messages
    }

    /// Encoded length in bytes, at most.
    pub(crate) fn weight(&self) -> usize {
        /// Lengths of `contacts` and `updates`.
        const LENGTHS: usize = 4;
        LENGTHS
            + self.body.weight()
            + self.from.weight()
            + varint_encoded_len(self.withdrawals)
            + self
                .contacts
                .iter()
                .map(RegionContact::weight)
                .sum::<usize>()
            + self
                .updates
                .iter()
                .map(MembershipUpdate::weight)
                .sum::<usize>()
    }
}
