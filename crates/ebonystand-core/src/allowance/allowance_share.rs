use super::*;

/// State of one workspace's allowance on this VM while the workspace is in use here.
#[derive(Debug)]
pub(crate) struct AllowanceShare {
    /// Asks for leases that may still be answered.
    pub(crate) asks: Vec<OpenAsk>,
    /// Leases from other holders.
    pub(crate) borrowed: Vec<BorrowedLease>,
    /// Tokens of the own part and the borrowed leases.
    pub(crate) bucket: TokenBucket,
    /// Claims that wait at this holder for tokens.
    pub(crate) claims: VecDeque<WaitingClaim>,
    /// Demand for tokens at this VM, including claims that it counts.
    pub(crate) demand: DemandMeter,
    /// Expiry of the borrowed lease that expires first; [`Duration::MAX`] without leases.
    pub(crate) first_expiry: Duration,
    /// Grants that this holder has made.
    pub(crate) grants: GrantLedger,
    pub(crate) lender: AllowanceLender,
    /// Claims of this VM's requests that may still be answered.
    pub(crate) open_claims: Vec<OpenClaim>,
    /// Whether the own region's holder has left a claim unanswered since its last answer.
    pub(crate) is_own_holder_silent: bool,
    /// Micro-tokens of reservations that are not settled yet.
    pub(crate) reserved: MicroTokens,
    /// Time before which waiting claims cause no further asks to other holders.
    pub(crate) gather_after: Duration,
    /// Retry times of refused claims.
    pub(crate) retry_schedule: RetrySchedule,
    pub(crate) holders: AllowanceHolders,
    /// Time before which no further leases are prefetched.
    pub(crate) prefetch_after: Duration,
    /// Time from which the own part is usable, while none of it is; `None` if that is not known.
    pub(crate) rests_until: Option<Duration>,
    /// Requests of this VM that wait for tokens.
    pub(crate) tickets: VecDeque<AllowanceTicket>,
    /// Time of the next tick, as entered in [`Allowance`]'s timers.
    pub(crate) timer: Option<Duration>,
    /// Time of the last request, claim or ask.
    pub(crate) last_used: Duration,
    /// Allowance of the workspace over the fleet.
    pub(crate) total: AllowancePart,
    pub(crate) workspace: WorkspaceId,
}

impl AllowanceShare {
    /// Creates an empty share for a workspace that comes into use on this VM.
    pub(crate) fn new(
        now: Duration,
        workspace: WorkspaceId,
        holders: AllowanceHolders,
        total: AllowancePart,
        cx: &mut AllowanceCx,
    ) -> Self {
        Self {
            asks: Vec::new(),
            borrowed: Vec::new(),
            bucket: TokenBucket::new(now, cx.next_sequence()),
            claims: VecDeque::new(),
            demand: DemandMeter::default(),
            first_expiry: Duration::MAX,
            grants: GrantLedger::default(),
            lender: AllowanceLender::default(),
            open_claims: Vec::new(),
            is_own_holder_silent: false,
            reserved: 0,
            gather_after: now,
            retry_schedule: RetrySchedule::default(),
            holders,
            prefetch_after: now,
            rests_until: None,
            tickets: VecDeque::new(),
            timer: None,
            last_used: now,
            total,
            workspace,
        }
    }

    /// Whether this VM holds its region's part.
    pub(crate) fn is_holder(&self, cx: &AllowanceCx) -> bool {
        self.own_holder() == Some(&cx.vm)
    }

    /// VM that holds the own region's part; `None` outside the residency.
    pub(crate) fn own_holder(&self) -> Option<&VmId> {
        self.holders.own_region.as_ref().map(|(holder, _)| holder)
    }

    /// Removes expired borrowed leases, lent leases and grants.
    pub(crate) fn expire(&mut self, now: Duration, cx: &mut AllowanceCx) {
        if self.first_expiry <= now {
            self.expire_borrowed(now);
        }
        self.lender.expire(now, &mut self.bucket);
        self.grants.expire(now, &mut self.bucket, cx);
    }

    /// Removes expired borrowed leases from the bucket.
    fn expire_borrowed(&mut self, now: Duration) {
        self.borrowed.sort_by_key(|lease| lease.expires_at);
        let bucket = &mut self.bucket;
        self.borrowed.retain(|lease| {
            let is_live = now < lease.expires_at;
            if !is_live {
                // The lease accrues tokens until it expires, not until the expiry is noticed.
                bucket.remove(lease.expires_at, lease.part, 0);
            }
            is_live
        });
        self.update_first_expiry();
    }

    /// Sets the part that this VM may use and the time of its next change.
    pub(crate) fn set_part(
        &mut self,
        now: Duration,
        part: AllowancePart,
        next_change: Option<Duration>,
    ) {
        self.lender.set_part(now, part, &mut self.bucket);
        self.rests_until =
            next_change.filter(|at| part == AllowancePart::ZERO && *at < Duration::MAX);
    }

    /// Recomputes the expiry of the borrowed lease that expires first.
    pub(crate) fn update_first_expiry(&mut self) {
        let first = self.borrowed.iter().map(|lease| lease.expires_at).min();
        self.first_expiry = first.unwrap_or(Duration::MAX);
    }

    /// Settles a reservation of which `used` tokens were spent, and returns the rest.
    pub(crate) fn settle(
        &mut self,
        now: Duration,
        reservation: Reservation,
        used: Tokens,
        cx: &mut AllowanceCx,
    ) {
        self.expire(now, cx);
        let need = reservation.tokens.saturating_mul(AllowancePart::SCALE);
        let used = used.saturating_mul(AllowancePart::SCALE);
        self.reserved = self.reserved.saturating_sub(need);
        let unused = need.saturating_sub(used);
        match reservation.grant {
            Some(grant) => {
                let tokens = unused;
                self.return_grant(now, &HeldGrant { tokens, ..grant }, cx);
            }
            None => self.bucket.refund(now, reservation.mark, unused),
        }
    }

    /// Snapshot for the operators' status page.
    pub(crate) fn status(&self) -> AllowanceStatus {
        AllowanceStatus {
            held: self.bucket.part(),
            level: self.bucket.level(),
            lent: self.lender.lent_total(),
            waiting: self.tickets.len(),
            workspace: self.workspace.clone(),
        }
    }

    /// Takes tokens from the bucket for a request; `None` if it holds too few.
    pub(crate) fn reserve(&mut self, tokens: Tokens, cx: &mut AllowanceCx) -> Option<Reservation> {
        let need = tokens.saturating_mul(AllowancePart::SCALE);
        let mark = cx.next_sequence();
        if !self.bucket.reserve(mark, need) {
            return None;
        }
        self.reserved = self.reserved.saturating_add(need);
        Some(Reservation {
            grant: None,
            mark,
            tokens,
            workspace: self.workspace.clone(),
        })
    }
}
