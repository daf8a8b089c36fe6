//! Limits that upstreams name in their answers, shared by the VMs of the region.
//!
//! Only a few VMs send to a limited upstream. VMs with equal views agree on them without a message,
//! and each takes an equal share, so the shares add up to the limit even while the VMs are cut off
//! from one another. VMs tell one another what answers said, so that those that do not send learn
//! of changes too.

use super::*;

impl UpstreamBook {
    /// Time between two looks at shares that change with time alone.
    const SHARE_INTERVAL: Duration = Duration::from_secs(5);

    /// Records the limit that an answer of an upstream names to a request sent at `sent_at`, or that
    /// it names none, and returns whether that changes the limit in force.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was last
    /// named: it may have overtaken or been overtaken by another answer.
    pub fn record_limit(
        &mut self,
        now: Duration,
        instance: &str,
        sent_at: Duration,
        limit: Option<UpstreamLimit>,
    ) -> bool {
        let Some(known) = self.upstreams.get_mut(instance) else {
            return false;
        };
        let adds_nothing = match &known.limit {
            None => limit.is_none(),
            Some(named) => limit.is_none() && named.limit.is_some() && sent_at < named.named_at,
        };
        if adds_nothing {
            return false;
        }
        let heard = HeardLimit {
            limit,
            named_at: now,
            upstream: known.key,
        };
        self.limited.insert(instance.into());
        let is_changed = Self::adopt_limit(now, known, heard, &self.vms);
        if let Some(named) = &mut known.limit
            && (is_changed || !named.is_reported(now))
        {
            named.reported_at = Some(now);
            self.exchange.report_limit(heard);
        }
        is_changed
    }

    /// Adopts what another VM of the region tells of limits, and returns those that it changes.
    pub(super) fn receive_limits(
        &mut self,
        now: Duration,
        from: &VmId,
        news: Vec<LimitNews>,
    ) -> Vec<(UpstreamId, Option<UpstreamLimit>)> {
        let mut changed = Vec::new();
        let mut newer = Vec::new();
        for news in news {
            let instance = self.instances_by_key.get(&news.upstream);
            let Some(known) = instance.and_then(|instance| self.upstreams.get_mut(instance)) else {
                continue;
            };
            let heard = HeardLimit {
                limit: news.limit,
                named_at: now.saturating_sub(Duration::from_millis(news.age_ms)),
                upstream: news.upstream,
            };
            if known
                .limit
                .as_ref()
                .is_some_and(|named| named.covers(heard))
            {
                continue;
            }
            newer.push(heard);
            self.limited.insert(known.listed.instance.clone());
            if Self::adopt_limit(now, known, heard, &self.vms) {
                changed.push((known.listed.instance.clone(), heard.limit));
            }
        }
        self.exchange.forward_limits(from, &newer);
        changed
    }

    /// Returns the limits in force, by upstream, with this VM's share of each.
    pub fn limits(&self, now: Duration) -> impl Iterator<Item = UpstreamLimitStatus> {
        let limited = self.limited.iter();
        let limited = limited.filter_map(|instance| self.upstreams.get(instance));
        limited.filter_map(move |known| {
            let named = known.limit.as_ref()?;
            Some(UpstreamLimitStatus {
                age_ms: millis(now.saturating_sub(named.named_at)),
                per_s: named.limit?.per_s(),
                share_per_s: named
                    .interval
                    .map_or(0.0, |interval| interval.as_secs_f64().recip()),
                upstream: known.listed.instance.clone(),
            })
        })
    }

    /// Returns whether an upstream of the service in this region gets no request now because of its
    /// limit.
    #[must_use]
    pub fn is_held_by_limit(&self, now: Duration, service: &str) -> bool {
        let limited = self.limited.iter();
        let mut limited = limited.filter_map(|instance| self.upstreams.get(instance));
        limited.any(|known| {
            *known.listed.service == *service
                && self.is_local(known)
                && known.limit_opens_at().is_none_or(|at| now < at)
        })
    }

    /// Updates this VM's shares after its view of the region has changed.
    pub(super) fn update_shares(&mut self, now: Duration) {
        let Self {
            limited,
            upstreams,
            vms,
            ..
        } = self;
        limited.retain(|instance| {
            let Some(known) = upstreams.get_mut(instance) else {
                return false;
            };
            let Some(named) = &mut known.limit else {
                return false;
            };
            match named.limit {
                Some(limit) => {
                    let share = vms.limit_share(now, instance, limit);
                    named.update_share(now, share);
                }
                None if now >= named.changed_at + NamedLimit::ENDED_HOLD => known.limit = None,
                None => {}
            }
            known.limit.is_some()
        });
    }

    /// Updates this VM's shares if time alone may have changed them.
    pub(super) fn expire_shares(&mut self, now: Duration) {
        let is_due = now >= self.next_share_update;
        if self.vms.expire(now) || is_due {
            self.next_share_update = now + Self::SHARE_INTERVAL;
            self.update_shares(now);
        }
    }

    /// Tells the other VMs again, on a relay, of the limits that it knows: one of them may have
    /// started since, or may have had another relay.
    pub(super) fn report_limits_again(&mut self, now: Duration) {
        if !self.exchange.is_relay() {
            return;
        }
        for instance in &self.limited {
            let known = self.upstreams.get_mut(instance);
            let Some((key, named)) = known.and_then(KnownUpstream::limit_mut) else {
                continue;
            };
            if named.is_reported(now) || !self.exchange.has_room_for_limits() {
                continue;
            }
            named.reported_at = Some(now);
            self.exchange.report_limit(HeardLimit {
                limit: named.limit,
                named_at: named.named_at,
                upstream: key,
            });
        }
    }

    /// Replaces what is known of an upstream's limit; returns whether the limit changes.
    fn adopt_limit(
        now: Duration,
        known: &mut KnownUpstream,
        heard: HeardLimit,
        vms: &LiveVms,
    ) -> bool {
        let before = known.limit.as_ref().and_then(|named| named.limit);
        let is_changed = before != heard.limit;
        let named = known.limit.get_or_insert_with(|| NamedLimit::new(now));
        named.limit = heard.limit;
        named.named_at = heard.named_at;
        if is_changed {
            named.changed_at = now;
            if let Some(limit) = heard.limit {
                let share = vms.limit_share(now, &known.listed.instance, limit);
                named.update_share(now, share);
            }
        }
        is_changed
    }
}
