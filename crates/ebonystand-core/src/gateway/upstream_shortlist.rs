//! Bound on the upstreams that are compared for a request.

use super::*;

impl UpstreamBook {
    /// Most upstreams that are compared for a request, besides those that cache its longest shared
    /// prefix. Further ones are compared only if none of these has room.
    pub const MAX_COMPARED: usize = 32;

    /// Returns the candidates to be compared for a request: all if they are few, else those that
    /// cache its prompt according to `is_cached` and a part of the others.
    ///
    /// All VMs agree on the part for prompts that share a prefix, so that few engines read it. For
    /// any other request, each VM has a part of its own, so that the upstreams get equal shares of
    /// the VMs and a VM has connections to few upstreams. An upstream that becomes ineligible
    /// changes a part by itself only.
    pub(super) fn shortlist<'a>(
        &self,
        query: &ChoiceQuery,
        candidates: &[&'a KnownUpstream],
        is_cached: impl Fn(&KnownUpstream) -> bool,
    ) -> Vec<&'a KnownUpstream> {
        if candidates.len() <= Self::MAX_COMPARED {
            return candidates.to_vec();
        }
        let shared = query.prompt.and_then(Prompt::placement_hash);
        let preference = match shared.filter(|_| self.is_enabled(Mechanism::Owner)) {
            Some(shared) => RendezvousHash::new(shared),
            None => self.own_preference(),
        };
        let (cached, others) = candidates
            .iter()
            .partition::<Vec<&'a KnownUpstream>, _>(|known| is_cached(known));
        let mut weighted = others
            .into_iter()
            .map(|known| (preference.weight(&known.listed.instance), known))
            .collect::<Vec<_>>();
        let most = Self::MAX_COMPARED.min(weighted.len());
        if most < weighted.len() {
            weighted.select_nth_unstable_by_key(most, |(weight, _)| std::cmp::Reverse(*weight));
        }
        let part = weighted.into_iter().take(most).map(|(_, known)| known);
        cached.into_iter().chain(part).collect()
    }

    /// Returns the order in which this VM prefers upstreams that are otherwise equal.
    pub(super) fn own_preference(&self) -> RendezvousHash {
        RendezvousHash::new(xxh3_64(self.vms.own().as_bytes()))
    }
}
