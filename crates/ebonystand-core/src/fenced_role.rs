use super::*;

/// One VM's view of a role whose sole holder may send orders to upstreams.
///
/// An upstream that checks fencing tokens rejects orders of a former holder itself. For an upstream
/// that does not, a new holder waits until its predecessor's lease has expired and the
/// predecessor's last order has taken effect, then reads the upstream's state, and only then sends
/// orders.
#[derive(Debug)]
pub struct FencedRole {
    holder: FenceHolder,
    phase: FencedRolePhase,
    read_upstreams: BTreeSet<UpstreamId>,
    resend_at: Duration,
    role: RoleId,
    last_seen: (Fence, u64),
    timings: FencedRoleTimings,
}

impl FencedRole {
    /// Creates the view of a VM that does not hold the role.
    #[must_use]
    pub fn new(
        now: Duration,
        role: RoleId,
        holder: FenceHolder,
        timings: FencedRoleTimings,
    ) -> Self {
        Self {
            holder,
            phase: FencedRolePhase::Standby { since: now },
            read_upstreams: BTreeSet::new(),
            resend_at: now,
            role,
            last_seen: (0, 0),
            timings,
        }
    }

    /// Fencing token under which this VM holds the role, if it does.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        match self.phase {
            FencedRolePhase::Holding { fence, .. } => Some(fence),
            FencedRolePhase::Claiming { .. } | FencedRolePhase::Standby { .. } => None,
        }
    }

    /// Updates this VM's view of the role from the registry that results from the commands applied
    /// on this VM. Call it when the registry has changed.
    pub fn observe_registry(&mut self, now: Duration, registry: &FenceRegistry) {
        let seen = registry
            .get(&self.role)
            .map_or((0, 0), |grant| (grant.fence, grant.renewal));
        if seen == self.last_seen {
            return;
        }
        self.last_seen = seen;
        let superseded = match self.phase {
            FencedRolePhase::Claiming { after } => seen.0 > after + 1,
            FencedRolePhase::Holding { fence, .. } => seen.0 > fence,
            FencedRolePhase::Standby { .. } => true,
        };
        if superseded {
            self.stand_by(now);
        }
    }

    /// Handles the result of a command that this VM proposed.
    pub fn handle_outcome(&mut self, now: Duration, outcome: &FenceOutcome) {
        match (&self.phase, *outcome) {
            (FencedRolePhase::Claiming { after }, FenceOutcome::Held { fence, .. })
                if fence == after + 1 =>
            {
                self.start_holding(now, fence);
            }
            (FencedRolePhase::Claiming { .. }, FenceOutcome::Lost { .. }) => self.stand_by(now),
            (
                FencedRolePhase::Holding { fence: mine, .. },
                FenceOutcome::Held { fence, renewal },
            ) if fence == *mine => {
                self.handle_renewal(renewal);
            }
            (FencedRolePhase::Holding { fence: mine, .. }, FenceOutcome::Lost { fence })
                if fence > *mine =>
            {
                self.stand_by(now);
            }
            _ => {}
        }
    }

    /// Returns a permit to send one order to `upstream`.
    ///
    /// # Errors
    ///
    /// [`FencedRoleError`] if this VM may not send orders to the upstream now.
    pub fn authorize_order(
        &self,
        now: Duration,
        id: &UpstreamId,
        upstream: &Upstream,
    ) -> Result<FencePermit, FencedRoleError> {
        let FencedRolePhase::Holding {
            fence,
            lease_end,
            open_at,
            ..
        } = self.phase
        else {
            return Err(FencedRoleError::NotHolder);
        };
        if now >= lease_end {
            return Err(FencedRoleError::LeaseExpired);
        }
        if !upstream.enforces_fencing && now < open_at {
            return Err(FencedRoleError::PredecessorActive);
        }
        if !upstream.enforces_fencing && !self.read_upstreams.contains(id) {
            return Err(FencedRoleError::StateUnread);
        }
        Ok(FencePermit {
            fence,
            valid_until: lease_end,
        })
    }

    /// Returns the command to propose, if one is due. Call it at
    /// [`next_poll_at`](Self::next_poll_at).
    pub fn poll(&mut self, now: Duration) -> Option<FenceCommand> {
        if now < self.next_poll_at() {
            return None;
        }
        self.resend_at = now + self.timings.renew;
        match &mut self.phase {
            FencedRolePhase::Holding {
                fence,
                renewal,
                renewal_sent,
                ..
            } => {
                // An unanswered renewal is resent under the same number. With a new number, a late
                // answer to the first one could be taken for the answer to a later renewal, which
                // may not have been applied in time.
                if renewal_sent.is_none() {
                    *renewal += 1;
                    *renewal_sent = Some(now);
                }
                Some(FenceCommand::Renew {
                    fence: *fence,
                    renewal: *renewal,
                    role: self.role.clone(),
                })
            }
            FencedRolePhase::Claiming { after } => {
                let after = *after;
                Some(self.propose_claim(after))
            }
            FencedRolePhase::Standby { .. } => Some(self.propose_claim(self.last_seen.0)),
        }
    }

    /// Records that an upstream's state was read by a request sent at `asked`.
    ///
    /// A read from before the predecessor's last order took effect does not count, since that order
    /// may have changed the state.
    pub fn record_state_read(&mut self, asked: Duration, upstream: UpstreamId) {
        if matches!(self.phase, FencedRolePhase::Holding { open_at, .. } if asked >= open_at) {
            self.read_upstreams.insert(upstream);
        }
    }

    /// Time at which [`poll`](Self::poll) has to be called next.
    #[must_use]
    pub fn next_poll_at(&self) -> Duration {
        match self.phase {
            FencedRolePhase::Claiming { .. } | FencedRolePhase::Holding { .. } => self.resend_at,
            FencedRolePhase::Standby { .. } if self.last_seen.0 == 0 => self.resend_at,
            FencedRolePhase::Standby { since } => {
                self.resend_at.max(since + self.timings.lease * 2)
            }
        }
    }

    fn propose_claim(&mut self, after: Fence) -> FenceCommand {
        self.phase = FencedRolePhase::Claiming { after };
        FenceCommand::Claim {
            after,
            holder: self.holder.clone(),
            role: self.role.clone(),
        }
    }

    /// Enters the holding phase. Orders are possible once a renewal is answered.
    ///
    /// Every renewal of the predecessor that counts precedes the claim in the log, so it was sent
    /// before now. The predecessor's lease therefore ends within one lease time from now.
    fn start_holding(&mut self, now: Duration, fence: Fence) {
        let wait = if fence == 1 {
            Duration::ZERO
        } else {
            self.timings.succession_wait()
        };
        self.read_upstreams.clear();
        self.resend_at = now;
        self.phase = FencedRolePhase::Holding {
            fence,
            lease_end: now,
            open_at: now + wait,
            renewal: 0,
            renewal_sent: None,
        };
    }

    /// Extends the lease after the answer to a renewal, if it was the last one sent.
    ///
    /// The lease runs from the time at which that renewal was first sent: the log may have granted
    /// the role to a successor right after it applied the renewal, long before this answer arrived.
    fn handle_renewal(&mut self, answered: u64) {
        let FencedRolePhase::Holding {
            lease_end,
            renewal,
            renewal_sent,
            ..
        } = &mut self.phase
        else {
            return;
        };
        if answered != *renewal {
            return;
        }
        if let Some(sent) = renewal_sent.take() {
            *lease_end = sent + self.timings.lease;
        }
    }

    fn stand_by(&mut self, now: Duration) {
        self.phase = FencedRolePhase::Standby { since: now };
        self.read_upstreams.clear();
        self.resend_at = now + self.timings.renew;
    }
}
