use super::*;

/// Order in which waiting requests get the slots of a group of engines.
///
/// Ranks share the slots by weight, in expected slot time. Within a rank workspaces have equal shares, and
/// within a workspace the request that must begin first goes first. A rank or workspace that asks for less
/// than its share leaves the rest to the others.
#[derive(Clone, Debug, Default)]
pub struct SlotQueue {
    next: u64,
    places: FxHashMap<(VmId, u32), Place>,
    rank_tags: FairTags<u8>,
    waiting: BTreeMap<u8, BTreeMap<WorkspaceKey, Flow>>,
    workspace_tags: FxHashMap<u8, FairTags<WorkspaceKey>>,
}

/// Requests of a workspace by the time by which they must begin, then by arrival.
type Flow = BTreeMap<(Duration, u64), WaitingSlot>;

/// Where a request waits in a queue.
#[derive(Clone, Copy, Debug)]
struct Place {
    key: (Duration, u64),
    rank: u8,
    workspace: WorkspaceKey,
}

impl SlotQueue {
    /// Most requests that wait at once. More could not be served within any first-byte target.
    pub const MAX_WAITING: usize = 1_024;
    /// Times that a request which an engine has a slot but not yet enough reading time for is overtaken
    /// there, before the engine takes no other one.
    pub const MAX_OVERTAKEN: u32 = 8;
    /// Weights of the ranks 0, 1 and all others. Each rank gets twice the share of the next one, which
    /// prefers it without starving the next.
    const WEIGHTS: [f64; 3] = [4.0, 2.0, 1.0];

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether this request waits.
    #[must_use]
    pub fn contains(&self, vm: &VmId, number: u32) -> bool {
        self.places.contains_key(&(vm.clone(), number))
    }

    /// Adds a request unless the queue is full, and returns whether it was added.
    pub fn push(&mut self, slot: WaitingSlot) -> bool {
        if self.len() >= Self::MAX_WAITING {
            return false;
        }
        self.next += 1;
        let place = Place {
            key: (slot.begin_by, self.next),
            rank: slot.request.rank,
            workspace: slot.request.workspace,
        };
        self.places.insert((slot.vm.clone(), slot.number), place);
        let rank = self.waiting.entry(place.rank).or_default();
        rank.entry(place.workspace)
            .or_default()
            .insert(place.key, slot);
        true
    }

    /// Returns the expected slot time, in milliseconds, of what goes before a request if nothing else comes.
    #[must_use]
    pub fn work_ahead(&self, begin_by: Duration, request: &SlotRequest) -> f64 {
        let own_rank = self.waiting.get(&request.rank);
        let own_flow = own_rank.and_then(|rank| rank.get(&request.workspace));
        let before = own_flow
            .into_iter()
            .flat_map(|flow| flow.range(..(begin_by, 0)));
        let before = before
            .map(|(_, slot)| f64::from(slot.request.hold_ms))
            .sum::<f64>();
        let tags = self.workspace_tags.get(&request.rank);
        let tag = |workspace| tags.map_or(0.0, |tags| tags.tag(workspace));
        let start = tag(request.workspace) + before;
        let others = own_rank.into_iter().flatten();
        let others = others.filter(|(workspace, _)| **workspace != request.workspace);
        let others =
            others.map(|(workspace, flow)| work_of(flow).min((start - tag(*workspace)).max(0.0)));
        let in_rank = before + others.sum::<f64>();
        let start = self.rank_tags.tag(request.rank) + in_rank / Self::weight(request.rank);
        let others = self
            .waiting
            .iter()
            .filter(|(rank, _)| **rank != request.rank);
        let others = others.map(|(rank, flows)| {
            let share = (start - self.rank_tags.tag(*rank)).max(0.0) * Self::weight(*rank);
            flows.values().map(work_of).sum::<f64>().min(share)
        });
        in_rank + others.sum::<f64>()
    }

    /// Removes and returns the next request for a free slot of an engine. `fits` tells whether the engine may
    /// get so many more unread prompt tokens.
    pub fn take(
        &mut self,
        engine: UpstreamKey,
        fits: impl Fn(Tokens) -> bool,
    ) -> Option<WaitingSlot> {
        let mut passed = Vec::new();
        let taken = self.in_order().find_map(|(place, slot)| {
            let unread = slot.request.unread_at(engine)?;
            if fits(unread) {
                return Some(Some(place));
            }
            if slot.overtaken >= Self::MAX_OVERTAKEN {
                return Some(None);
            }
            passed.push(place);
            None
        });
        let place = taken.flatten()?;
        for passed in passed {
            if let Some(slot) = self.slot_mut(passed) {
                slot.overtaken += 1;
            }
        }
        self.charge(place);
        self.remove_place(place)
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, vm: &VmId, number: u32) -> Option<WaitingSlot> {
        let place = *self.places.get(&(vm.clone(), number))?;
        self.remove_place(place)
    }

    /// Removes and returns the requests that `is_removed` accepts.
    pub fn remove_where(&mut self, is_removed: impl Fn(&WaitingSlot) -> bool) -> Vec<WaitingSlot> {
        let places = self.in_order().filter(|(_, slot)| is_removed(slot));
        let places = places.map(|(place, _)| place).collect::<Vec<_>>();
        let removed = places
            .into_iter()
            .filter_map(|place| self.remove_place(place));
        removed.collect()
    }

    /// Returns the waiting requests in the order in which they get slots, but for the work that each adds.
    fn in_order(&self) -> impl Iterator<Item = (Place, &WaitingSlot)> {
        let mut ranks = self.waiting.iter().collect::<Vec<_>>();
        ranks.sort_by(|(a, _), (b, _)| self.rank_tags.tag(**a).total_cmp(&self.rank_tags.tag(**b)));
        ranks.into_iter().flat_map(|(rank, flows)| {
            let tags = self.workspace_tags.get(rank);
            let tag = |workspace| tags.map_or(0.0, |tags| tags.tag(workspace));
            let mut flows = flows.iter().collect::<Vec<_>>();
            flows.sort_by(|(a, _), (b, _)| tag(**a).total_cmp(&tag(**b)));
            flows.into_iter().flat_map(|(workspace, flow)| {
                flow.iter().map(|(key, slot)| {
                    let place = Place {
                        key: *key,
                        rank: *rank,
                        workspace: *workspace,
                    };
                    (place, slot)
                })
            })
        })
    }

    /// Charges the rank and the workspace of a request that gets a slot.
    fn charge(&mut self, place: Place) {
        let Place {
            rank, workspace, ..
        } = place;
        let Some(slot) = self.slot_mut(place) else {
            return;
        };
        let work = f64::from(slot.request.hold_ms.max(1));
        let rank_tag = self.rank_tags.tag(rank);
        let is_first = self
            .waiting
            .keys()
            .all(|other| self.rank_tags.tag(*other) >= rank_tag);
        self.rank_tags
            .charge(rank, work, Self::weight(rank), is_first);
        let tags = self.workspace_tags.entry(rank).or_default();
        let tag = tags.tag(workspace);
        let flows = self.waiting.get(&rank);
        let is_first = flows.is_none_or(|flows| flows.keys().all(|other| tags.tag(*other) >= tag));
        tags.charge(workspace, work, 1.0, is_first);
        tags.remove_settled();
    }

    fn slot_mut(&mut self, place: Place) -> Option<&mut WaitingSlot> {
        let flows = self.waiting.get_mut(&place.rank)?;
        flows.get_mut(&place.workspace)?.get_mut(&place.key)
    }

    fn remove_place(&mut self, place: Place) -> Option<WaitingSlot> {
        let flows = self.waiting.get_mut(&place.rank)?;
        let flow = flows.get_mut(&place.workspace)?;
        let slot = flow.remove(&place.key)?;
        if flow.is_empty() {
            flows.remove(&place.workspace);
        }
        if flows.is_empty() {
            self.waiting.remove(&place.rank);
        }
        self.places.remove(&(slot.vm.clone(), slot.number));
        Some(slot)
    }

    fn weight(rank: u8) -> f64 {
        Self::WEIGHTS[usize::from(rank).min(Self::WEIGHTS.len() - 1)]
    }
}

/// Returns the expected slot time of the requests of a workspace, in milliseconds.
fn work_of(flow: &Flow) -> f64 {
    flow.values()
        .map(|slot| f64::from(slot.request.hold_ms))
        .sum()
}
