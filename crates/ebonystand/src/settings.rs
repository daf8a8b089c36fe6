use super::*;
use {settings_reader::SettingsReader, std::collections::BTreeSet};

/// Settings of one VM, checked in full.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Folder for durable state. A VM that has one may be a member of the replicated group.
    pub data_folder: Option<PathBuf>,
    /// Whether this VM may found the replicated group. Not after it has lost its disk.
    pub founding: bool,
    /// Serving by routes.
    pub gateway: GatewaySettings,
    /// Members of the replicated group.
    pub group: GroupSettings,
    /// Bounds.
    pub limits: Limits,
    /// Addresses.
    pub listen: Listen,
    /// Log.
    pub log: LogSettings,
    /// VMs that the replicated group was first made of.
    pub members: Vec<VmId>,
    /// File with the operators' credential.
    pub operator_credential_file: PathBuf,
    /// Region of this VM.
    pub region: RegionId,
    /// Resources of this VM's machine.
    pub resources: Resources,
    /// File with the secret that all VMs of the fleet share.
    pub secret_file: PathBuf,
    /// Peer addresses of VMs to meet first.
    pub seeds: Vec<SocketAddr>,
    /// Name of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: ZoneId,
}

impl Settings {
    /// Settings in this JSON text.
    ///
    /// # Errors
    /// [`Error::SettingsFaults`] with every fault and its path.
    pub fn parse(text: &str) -> Result<Self> {
        let mut reader = SettingsReader::new(text);
        let settings = Self::fields(&mut reader);
        let faults = reader.finish();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Error::SettingsFaults { faults }),
        }
    }

    /// Settings in this file.
    ///
    /// # Errors
    /// [`Error::File`] or [`Error::SettingsFaults`].
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).context(error::File { path })?;
        Self::parse(&text)
    }

    /// Returns whether this VM has no other VM to meet first.
    pub(crate) fn is_alone(&self) -> bool {
        self.seeds.iter().all(|seed| *seed == self.listen.peers)
    }

    /// Returns the availability zones of this VM's region.
    pub(crate) fn zones_of_region(&self) -> BTreeSet<&ZoneId> {
        let zones = self.gateway.zones.iter();
        let zones = zones.filter(|(_, region)| **region == self.region);
        zones.map(|(zone, _)| zone).chain([&self.zone]).collect()
    }

    fn fields(reader: &mut SettingsReader) -> Option<Self> {
        let data_folder = reader.optional("data_folder", None);
        let founding = reader.optional("founding", true);
        let gateway = reader.section("gateway", GatewaySettings::read);
        let group = reader.section("group", GroupSettings::read);
        let limits = reader.section("limits", Limits::read);
        let listen = reader.section("listen", Listen::read);
        let log = reader.section("log", LogSettings::read);
        let members = reader.optional("members", Vec::new());
        let operator_credential_file = reader.required("operator_credential_file");
        let region = reader.required("region");
        let resources = reader.section("resources", Resources::read);
        let secret_file = reader.required("secret_file");
        let seeds = reader.optional("seeds", Vec::new());
        let vm = reader.required("vm");
        let zone = reader.required("zone");
        Some(Self {
            data_folder,
            founding,
            gateway,
            group,
            limits,
            listen: listen?,
            log,
            members,
            operator_credential_file: operator_credential_file?,
            region: region?,
            resources,
            secret_file: secret_file?,
            seeds,
            vm: vm?,
            zone: zone?,
        })
    }
}
