use super::*;

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum Subcommand {
    Check {
        settings: Settings,
    },
    Run {
        addresses: Option<PathBuf>,
        path: PathBuf,
        settings: Settings,
    },
}

impl Subcommand {
    pub(crate) fn run(self) -> Result {
        match self {
            Self::Check { settings } => {
                println!("settings of VM `{}` are sound", settings.vm);
                Ok(())
            }
            Self::Run {
                addresses,
                path,
                settings,
            } => {
                let extension = Extension {
                    reload: Some(Rc::new(move || Settings::read(&path).ok())),
                    ..Extension::default()
                };
                serve::run(settings, addresses, extension)
            }
        }
    }
}
