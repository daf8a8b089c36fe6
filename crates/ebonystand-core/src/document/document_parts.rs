//! Transfer of a document in parts, so that neither a message nor the time to build one grows with
//! the document.

use {super::*, std::ops::Bound};

impl Document {
    /// Maximum number of entries in a [`DocumentPart`].
    pub const PART_ENTRIES: usize = 256;

    /// Returns the part of the document that starts after `cursor`.
    #[must_use]
    pub fn read_part(&self, cursor: DocumentCursor) -> DocumentPart {
        let mut entries = Vec::new();
        let is_first = cursor == DocumentCursor::default();
        let mut section = Some(cursor.section);
        let mut after = cursor.after.as_deref();
        while let Some(current) = section {
            if entries.len() == Self::PART_ENTRIES {
                break;
            }
            let room = Self::PART_ENTRIES - entries.len();
            self.read_section(current, after, room, &mut entries);
            after = None;
            section = current.next();
        }
        DocumentPart {
            cursor,
            evacuated: self.evacuated.clone(),
            last: entries.len() < Self::PART_ENTRIES,
            entries,
            preset: self.preset,
            presets: self.presets.clone(),
            // The source is left out, since the links of serving VMs are narrow and the operator's
            // text would take up most of a copy.
            routing: is_first.then(|| Box::new(self.routing.without_source())),
            version: self.version,
        }
    }

    /// Inserts the entries of a part, and replaces the fields that are not maps.
    pub fn insert_part(&mut self, part: DocumentPart) {
        self.preset = part.preset;
        self.presets = part.presets;
        self.evacuated = part.evacuated;
        if let Some(routing) = part.routing {
            self.routing = *routing;
        }
        for entry in part.entries {
            match entry {
                DocumentEntry::Key(id, key) => drop(self.keys.insert(id, key)),
                DocumentEntry::Region(id, region) => drop(self.regions.insert(id, region)),
                DocumentEntry::Service(id, service) => drop(self.services.insert(id, service)),
                DocumentEntry::Upstream(id, upstream) => drop(self.upstreams.insert(id, upstream)),
                DocumentEntry::Workspace(id, workspace) => {
                    drop(self.workspaces.insert(id, workspace));
                }
            }
        }
    }

    /// Appends up to `room` entries of one section, starting after the name `after`.
    fn read_section(
        &self,
        section: DocumentSection,
        after: Option<&str>,
        room: usize,
        entries: &mut Vec<DocumentEntry>,
    ) {
        use DocumentEntry as Entry;
        match section {
            DocumentSection::Keys => read_map(&self.keys, after, room, entries, Entry::Key),
            DocumentSection::Regions => {
                read_map(&self.regions, after, room, entries, Entry::Region)
            }
            DocumentSection::Services => {
                read_map(&self.services, after, room, entries, Entry::Service);
            }
            DocumentSection::Upstreams => {
                read_map(&self.upstreams, after, room, entries, Entry::Upstream);
            }
            DocumentSection::Workspaces => {
                read_map(&self.workspaces, after, room, entries, Entry::Workspace);
            }
        }
    }
}

/// Appends up to `room` entries of `map`, starting after the name `after`.
fn read_map<T: Clone>(
    map: &BTreeMap<Box<str>, T>,
    after: Option<&str>,
    room: usize,
    entries: &mut Vec<DocumentEntry>,
    entry: fn(Box<str>, T) -> DocumentEntry,
) {
    let start = after.map_or(Bound::Unbounded, Bound::Excluded);
    let range = map.range::<str, _>((start, Bound::Unbounded));
    entries.extend(
        range
            .take(room)
            .map(|(id, value)| entry(id.clone(), value.clone())),
    );
}
