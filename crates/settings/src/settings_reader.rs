use std::net::SocketAddr;

use dandelionroad_core::ident::EndpointName;

use super::SettingFault;
use super::SettingsError;
use super::setting_source::SettingSource;
use super::setting_source::variable_name;

const EXPECTED_NAME: &str = "a name of 1 to 64 characters of a-z, 0-9 and -";
const EXPECTED_LISTEN: &str =
    "an address to listen on, as ip:port, at which others can reach this host";
const EXPECTED_URL: &str = "a base URL such as http://127.0.0.1:8100";
const EXPECTED_ADDRESSES: &str = "addresses as ip:port, separated by commas";

/// Reads settings and collects the faults of all of them.
///
/// A setting that is missing or invalid leaves its target unchanged.
pub(crate) struct SettingsReader<'a> {
    environment: &'a dyn Fn(&str) -> Option<String>,
    faults: Vec<SettingFault>,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader that looks up environment variables with `environment`.
    pub(crate) fn new(environment: &'a dyn Fn(&str) -> Option<String>) -> SettingsReader<'a> {
        SettingsReader {
            environment,
            faults: Vec::new(),
        }
    }

    /// Returns an error with all faults, if there are any.
    pub(crate) fn finish(self) -> Result<(), SettingsError> {
        let faults = self.faults;
        if faults.is_empty() {
            Ok(())
        } else {
            Err(SettingsError { faults })
        }
    }

    /// Reads a required name.
    pub(crate) fn name(
        &mut self,
        flag: &'static str,
        flag_value: &Option<String>,
        target: &mut String,
    ) {
        let parse = |text: &str| EndpointName::parse(text).ok().map(|_| text.to_owned());
        self.read_required(flag, flag_value, EXPECTED_NAME, target, parse);
    }

    /// Reads a name that has a default.
    pub(crate) fn optional_name(
        &mut self,
        flag: &'static str,
        flag_value: &Option<String>,
        target: &mut String,
    ) {
        let parse = |text: &str| EndpointName::parse(text).ok().map(|_| text.to_owned());
        self.read_optional(flag, flag_value, EXPECTED_NAME, target, parse);
    }

    /// Reads a required base URL.
    pub(crate) fn url(
        &mut self,
        flag: &'static str,
        flag_value: &Option<String>,
        target: &mut String,
    ) {
        self.read_required(flag, flag_value, EXPECTED_URL, target, parse_url);
    }

    /// Reads the address of a listener.
    pub(crate) fn listen_address(
        &mut self,
        flag: &'static str,
        flag_value: &Option<String>,
        target: &mut SocketAddr,
    ) {
        self.read_optional(flag, flag_value, EXPECTED_LISTEN, target, |text| {
            text.parse().ok()
        });
    }

    /// Reads the address of the internal listener.
    ///
    /// The address is announced to other processes, so the unspecified address is invalid.
    pub(crate) fn reachable_address(
        &mut self,
        flag: &'static str,
        flag_value: &Option<String>,
        target: &mut SocketAddr,
    ) {
        let parse = |text: &str| {
            let address: SocketAddr = text.parse().ok()?;
            (!address.ip().is_unspecified()).then_some(address)
        };
        self.read_optional(flag, flag_value, EXPECTED_LISTEN, target, parse);
    }

    /// Reads a list of addresses that are separated by commas.
    pub(crate) fn addresses(
        &mut self,
        flag: &'static str,
        flag_value: &Option<String>,
        target: &mut Vec<String>,
    ) {
        let parse = |text: &str| {
            let parts = text.split(',').map(str::trim);
            let parsed = parts.map(|part| part.parse::<SocketAddr>().ok().map(|_| part.to_owned()));
            parsed.collect()
        };
        self.read_optional(flag, flag_value, EXPECTED_ADDRESSES, target, parse);
    }

    /// Reads a number of at least 1.
    pub(crate) fn number<T: From<u8> + PartialOrd + std::str::FromStr>(
        &mut self,
        flag: &'static str,
        flag_value: &Option<String>,
        expected: &'static str,
        target: &mut T,
    ) {
        let parse = |text: &str| text.parse().ok().filter(|number| *number >= T::from(1));
        self.read_optional(flag, flag_value, expected, target, parse);
    }

    /// Reads one of the values in `choices`.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        flag: &'static str,
        flag_value: &Option<String>,
        expected: &'static str,
        choices: &[(&str, T)],
        target: &mut T,
    ) {
        let parse = |text: &str| {
            let found = choices.iter().find(|(word, _)| *word == text);
            found.map(|(_, value)| *value)
        };
        self.read_optional(flag, flag_value, expected, target, parse);
    }

    /// Reads a required secret, which has an environment variable but no flag.
    pub(crate) fn secret(&mut self, name: &str, expected: &'static str, target: &mut String) {
        let variable = variable_name(name);
        match (self.environment)(&variable).filter(|text| !text.is_empty()) {
            Some(text) => *target = text,
            None => self
                .faults
                .push(SettingFault::SecretMissing { variable, expected }),
        }
    }

    /// Reads a setting that has no default.
    pub(crate) fn read_required<T>(
        &mut self,
        flag: &'static str,
        flag_value: &Option<String>,
        expected: &'static str,
        target: &mut T,
        parse: impl FnOnce(&str) -> Option<T>,
    ) {
        let source = SettingSource::find(flag, flag_value.as_ref(), self.environment);
        if source.value.is_none() {
            let setting = source.label();
            self.faults
                .push(SettingFault::Missing { setting, expected });
        }
        self.parse_into(source, expected, target, parse);
    }

    fn read_optional<T>(
        &mut self,
        flag: &'static str,
        flag_value: &Option<String>,
        expected: &'static str,
        target: &mut T,
        parse: impl FnOnce(&str) -> Option<T>,
    ) {
        let source = SettingSource::find(flag, flag_value.as_ref(), self.environment);
        self.parse_into(source, expected, target, parse);
    }

    fn parse_into<T>(
        &mut self,
        source: SettingSource,
        expected: &'static str,
        target: &mut T,
        parse: impl FnOnce(&str) -> Option<T>,
    ) {
        let Some(value) = &source.value else {
            return;
        };
        match parse(value.trim()) {
            Some(parsed) => *target = parsed,
            None => self.faults.push(SettingFault::Invalid {
                setting: source.label(),
                value: value.clone(),
                expected,
            }),
        }
    }
}

fn parse_url(text: &str) -> Option<String> {
    let authority = text.strip_prefix("http://")?.trim_end_matches('/');
    let is_valid = !authority.is_empty() && !authority.contains(['/', ' ', '@', '?']);
    is_valid.then(|| format!("http://{authority}"))
}
