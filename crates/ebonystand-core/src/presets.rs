use super::*;

/// Weights and limits of all presets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Presets {
    /// Preset for times when upstreams are under maintenance.
    pub maintenance: Preset,
    /// Preset for ordinary traffic.
    pub ordinary: Preset,
    /// Preset for peaks of traffic.
    pub peak: Preset,
}

impl Presets {
    /// Adds the faults of all presets to `faults`.
    pub(crate) fn check(&self, faults: &mut Vec<DocumentFault>) {
        self.maintenance.check(PresetName::Maintenance, faults);
        self.ordinary.check(PresetName::Ordinary, faults);
        self.peak.check(PresetName::Peak, faults);
    }

    /// Returns the preset with this name.
    #[must_use]
    pub fn get(&self, name: PresetName) -> &Preset {
        match name {
            PresetName::Maintenance => &self.maintenance,
            PresetName::Ordinary => &self.ordinary,
            PresetName::Peak => &self.peak,
        }
    }

    /// Returns the preset with this name for modification.
    pub fn get_mut(&mut self, name: PresetName) -> &mut Preset {
        match name {
            PresetName::Maintenance => &mut self.maintenance,
            PresetName::Ordinary => &mut self.ordinary,
            PresetName::Peak => &mut self.peak,
        }
    }
}
