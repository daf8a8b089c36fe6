//! How a share that holds a part answers those who ask for it.

use super::*;

impl AllowanceShare {
    /// Takes a message's item.
    pub(crate) fn take_action(
        &mut self,
        now: Duration,
        from: &VmId,
        action: AllowanceAction,
        cx: &mut AllowanceCx,
    ) {
        match action {
            AllowanceAction::Ask {
                ask,
                demand,
                need,
                room,
            } => {
                let from = from.clone();
                let recalled = false;
                let ask = WaitingAsk {
                    ask,
                    from,
                    need,
                    recalled,
                    room,
                };
                self.take_ask(now, ask, demand, cx);
            }
            AllowanceAction::Lend {
                ask,
                lease,
                part,
                tokens,
            } => self.take_lease(now, from, ask, lease, (part, tokens), cx),
            AllowanceAction::Recall { keep, recall, room } => {
                self.take_recall(now, from, recall, (keep, room), cx);
            }
            AllowanceAction::Renew {
                asked_at,
                demand,
                leases,
            } => self.take_renewal(now, from, asked_at, demand, &leases, cx),
            AllowanceAction::Renewed { asked_at, leases } => {
                self.note_renewal(from, asked_at, &leases);
            }
            AllowanceAction::Return {
                demand,
                leases,
                recall,
            } => self.take_return(now, from, demand, &leases, recall, cx),
        }
    }

    /// Takes an ask; one for stock is answered at once.
    pub(crate) fn take_ask(
        &mut self,
        now: Duration,
        ask: WaitingAsk,
        demand: MicroTokens,
        cx: &mut AllowanceCx,
    ) {
        self.used = now;
        if !self.lender.takes_ask(now, &ask, demand) {
            return;
        }
        if ask.need == 0 {
            self.lend(now, &ask, cx);
            return;
        }
        self.lender.wait(ask);
        self.serve(now, cx);
    }

    /// Answers the asks that wait, in their order. One that cannot be met has the leases of
    /// others called back first: tokens that lie idle on another VM are not a reason to refuse.
    pub(crate) fn serve(&mut self, now: Duration, cx: &mut AllowanceCx) {
        self.bucket.advance(now);
        while !self.lender.is_recalling(now)
            && let Some(front) = self.lender.front()
        {
            let short = self.is_short(front, cx);
            let from = front.from.clone();
            if short && !front.recalled && self.lender.lends_beside(&from) {
                if !self.lender.recall_is_early(now) {
                    self.recall(now, &from, cx);
                }
                return;
            }
            let Some(ask) = self.lender.pop_front() else {
                return;
            };
            if ask.from != cx.vm {
                self.lend(now, &ask, cx);
            } else {
                self.admit_waiting(cx);
            }
        }
    }

    /// Takes leases back.
    pub(crate) fn take_return(
        &mut self,
        now: Duration,
        from: &VmId,
        demand: MicroTokens,
        leases: &[LeaseReturn],
        recall: Option<u64>,
        cx: &mut AllowanceCx,
    ) {
        self.lender
            .take_back(now, from, leases, &mut self.bucket, cx);
        self.lender.note_return(now, from, demand, recall);
        self.serve(now, cx);
    }

    fn take_renewal(
        &mut self,
        now: Duration,
        from: &VmId,
        asked_at: Duration,
        demand: MicroTokens,
        leases: &[LeaseHold],
        cx: &mut AllowanceCx,
    ) {
        let bucket = &mut self.bucket;
        let leases = self.lender.renew(now, from, demand, leases, bucket, cx);
        if leases.is_empty() {
            return;
        }
        let action = AllowanceAction::Renewed { asked_at, leases };
        cx.send(from, &self.workspace, action);
    }

    fn is_short(&self, ask: &WaitingAsk, cx: &AllowanceCx) -> bool {
        if ask.from == cx.vm {
            let need: MicroTokens = self.tickets.iter().map(AllowanceTicket::need).sum();
            return self.bucket.level() < need;
        }
        self.lender.lendable(ask, &self.bucket) < ask.need
    }

    fn lend(&mut self, now: Duration, ask: &WaitingAsk, cx: &mut AllowanceCx) {
        let demand = self.demand.rate(now);
        let bucket = &mut self.bucket;
        let (lease, part, tokens) = self.lender.lend(now, ask, demand, bucket, cx);
        let action = AllowanceAction::Lend {
            ask: ask.ask,
            lease,
            part,
            tokens,
        };
        cx.send(&ask.from, &self.workspace, action);
    }

    fn recall(&mut self, now: Duration, vm: &VmId, cx: &mut AllowanceCx) {
        let demand = self.demand.rate(now);
        let recalls = self.lender.start_recall(now, vm, demand, &self.bucket, cx);
        for (to, action) in recalls {
            cx.send(&to, &self.workspace, action);
        }
    }
}
