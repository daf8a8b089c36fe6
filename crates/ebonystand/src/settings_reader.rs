use super::*;

/// Reads one JSON object field by field and gathers every fault, so that an operator mends all
/// of them at once.
pub(crate) struct SettingsReader {
    faults: Vec<SettingsFault>,
    fields: serde_json::Map<String, Value>,
    path: Box<str>,
}

impl SettingsReader {
    /// Faults of this object; what was never asked for is unknown.
    pub(crate) fn finish(mut self) -> Vec<SettingsFault> {
        let unknown = self.fields.keys().map(|name| SettingsFault::Unknown {
            path: self.path_of(name),
        });
        let unknown = unknown.collect::<Vec<_>>();
        self.faults.extend(unknown);
        self.faults
    }

    pub(crate) fn new(text: &str) -> Self {
        let mut reader = Self {
            faults: Vec::new(),
            fields: serde_json::Map::new(),
            path: "".into(),
        };
        match serde_json::from_str(text) {
            Ok(fields) => reader.fields = fields,
            Err(error) => reader.faults.push(SettingsFault::Syntax {
                message: error.to_string().into(),
            }),
        }
        reader
    }

    pub(crate) fn optional<T: DeserializeOwned>(&mut self, name: &str, default: T) -> T {
        match self.fields.remove(name) {
            Some(value) => self.parse(name, value).unwrap_or(default),
            None => default,
        }
    }

    /// A number of this range.
    pub(crate) fn ranged(&mut self, name: &str, default: u64, min: u64, max: u64) -> u64 {
        let value = self.optional(name, default);
        if value < min || value > max {
            let path = self.path_of(name);
            self.faults.push(SettingsFault::Range { path, min, max });
        }
        value
    }

    /// A number above 0, if it is set.
    pub(crate) fn positive(&mut self, name: &str) -> Option<f64> {
        let value = self.optional::<Option<f64>>(name, None)?;
        if value > 0.0 {
            return Some(value);
        }
        let path = self.path_of(name);
        self.faults.push(SettingsFault::NotPositive { path });
        None
    }

    pub(crate) fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let Some(value) = self.fields.remove(name) else {
            let path = self.path_of(name);
            self.faults.push(SettingsFault::Missing { path });
            return None;
        };
        self.parse(name, value)
    }

    /// Reads the object under `name`; an absent one reads as empty.
    pub(crate) fn section<T>(&mut self, name: &str, read: impl FnOnce(&mut Self) -> T) -> T {
        let fields = self.optional(name, serde_json::Map::new());
        let mut section = Self {
            faults: Vec::new(),
            fields,
            path: format!("{}.", self.path_of(name)).into(),
        };
        let value = read(&mut section);
        self.faults.extend(section.finish());
        value
    }

    fn parse<T: DeserializeOwned>(&mut self, name: &str, value: Value) -> Option<T> {
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(error) => {
                self.faults.push(SettingsFault::Type {
                    path: self.path_of(name),
                    message: error.to_string().into(),
                });
                None
            }
        }
    }

    fn path_of(&self, name: &str) -> Box<str> {
        format!("{}{name}", self.path).into()
    }
}
