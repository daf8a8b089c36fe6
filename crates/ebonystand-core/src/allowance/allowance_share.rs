use super::*;

/// Allowance of one workspace that is in use on this VM.
#[derive(Debug)]
pub(crate) struct AllowanceShare {
    pub(crate) asks: Vec<OpenAsk>,
    pub(crate) borrowed: Vec<BorrowedLease>,
    pub(crate) bucket: TokenBucket,
    /// Claims that wait for the rate to serve them.
    pub(crate) claims: VecDeque<WaitingClaim>,
    pub(crate) demand: DemandMeter,
    /// When the first of the borrowed leases ends.
    pub(crate) first_expiry: Duration,
    pub(crate) grants: GrantBook,
    pub(crate) lender: AllowanceLender,
    pub(crate) open_claims: Vec<OpenClaim>,
    /// Whether the holder of the own region has left a claim unanswered since its last answer.
    pub(crate) own_is_silent: bool,
    /// Micro-tokens of reservations that are not settled.
    pub(crate) reserved: MicroTokens,
    /// Before it, the other holders are not asked again for what claims wait for.
    pub(crate) gather_after: Duration,
    pub(crate) returns: Returns,
    pub(crate) route: AllowanceRoute,
    pub(crate) stock_after: Duration,
    pub(crate) tickets: VecDeque<AllowanceTicket>,
    /// When the share is next looked at.
    pub(crate) timer: Option<Duration>,
    pub(crate) used: Duration,
    pub(crate) whole: AllowancePart,
    pub(crate) workspace: WorkspaceId,
}

impl AllowanceShare {
    /// Share of a workspace that comes into use.
    pub(crate) fn new(
        now: Duration,
        workspace: WorkspaceId,
        route: AllowanceRoute,
        whole: AllowancePart,
        cx: &mut AllowanceCx,
    ) -> Self {
        Self {
            asks: Vec::new(),
            borrowed: Vec::new(),
            bucket: TokenBucket::new(now, cx.next()),
            claims: VecDeque::new(),
            demand: DemandMeter::default(),
            first_expiry: Duration::MAX,
            grants: GrantBook::default(),
            lender: AllowanceLender::default(),
            open_claims: Vec::new(),
            own_is_silent: false,
            reserved: 0,
            gather_after: now,
            returns: Returns::default(),
            route,
            stock_after: now,
            tickets: VecDeque::new(),
            timer: None,
            used: now,
            whole,
            workspace,
        }
    }

    /// Whether this VM holds its region's part.
    pub(crate) fn is_holder(&self, cx: &AllowanceCx) -> bool {
        self.own_holder() == Some(&cx.vm)
    }

    /// Holder of the own region's part.
    pub(crate) fn own_holder(&self) -> Option<&VmId> {
        self.route.own.as_ref().map(|(holder, _)| holder)
    }

    /// Drops what has ended.
    pub(crate) fn expire(&mut self, now: Duration, cx: &mut AllowanceCx) {
        if self.first_expiry <= now {
            self.expire_borrowed(now);
        }
        self.lender.expire(now, &mut self.bucket);
        self.grants.expire(now, &mut self.bucket, cx);
    }

    fn expire_borrowed(&mut self, now: Duration) {
        self.borrowed.sort_by_key(|lease| lease.expires);
        let bucket = &mut self.bucket;
        self.borrowed.retain(|lease| {
            let lasts = now < lease.expires;
            if !lasts {
                // The rate counts until the end of the lease, not until it was noticed.
                bucket.take(lease.expires, lease.part, 0);
            }
            lasts
        });
        self.note_expiry();
    }

    /// Keeps the time of the first end up to date.
    pub(crate) fn note_expiry(&mut self) {
        let first = self.borrowed.iter().map(|lease| lease.expires).min();
        self.first_expiry = first.unwrap_or(Duration::MAX);
    }

    /// Ends a reservation of which `used` tokens were used.
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
                self.refund(now, &HeldGrant { tokens, ..grant }, cx);
            }
            None => self.bucket.refund(now, reservation.mark, unused),
        }
    }

    /// What operators see.
    pub(crate) fn status(&self) -> AllowanceStatus {
        AllowanceStatus {
            held: self.bucket.part(),
            level: self.bucket.level(),
            lent: self.lender.lent_total(),
            waiting: self.tickets.len(),
            workspace: self.workspace.clone(),
        }
    }

    pub(crate) fn reserve(&mut self, tokens: Tokens, cx: &mut AllowanceCx) -> Option<Reservation> {
        let need = tokens.saturating_mul(AllowancePart::SCALE);
        let mark = cx.next();
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
