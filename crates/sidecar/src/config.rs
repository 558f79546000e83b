//! Configuration of the sidecar: the file named by `ROUTER_CONFIG`, validated before anything starts.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use sagemast_decide::settings::Config as SettingsObject;
use serde::Deserialize;

use crate::hosts::HostList;
use crate::resource_limits::{BUFFER_KIB_PER_TRANSFER, ResourceLimits, connections_kib, divide};

/// The configuration file.
#[derive(Deserialize)]
pub struct Config {
    /// Name of the sidecar, which stays the same after a restart.
    #[serde(default)]
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the operators' console; without it there is no console.
    #[serde(default)]
    pub console: Option<SocketAddr>,
    /// Seed for random numbers, in hexadecimal digits.
    #[serde(default)]
    pub seed: String,
    /// Resource limits that the platform sets.
    #[serde(default)]
    pub limits: Limits,
    /// The last host list of this sidecar before it was restarted.
    #[serde(default, rename = "known")]
    pub initial_host_list: Option<HostList>,
    /// Settings of the decision module.
    pub settings: SettingsObject,
    /// How many processes of this sidecar may run at once. Not part of the file.
    #[serde(skip, default = "default_max_processes")]
    pub max_processes: usize,
}

fn default_max_processes() -> usize {
    1
}

/// Memory of a busy client connection of a daemon's instance: its buffer and a body each way, and the same
/// for the connection to the upstream.
const DAEMON_CONNECTION_KIB: usize = 256;

/// Resource limits that the platform sets.
#[derive(Deserialize)]
pub struct Limits {
    /// Memory, in MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
    /// File descriptors, of sockets and other files.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: default_memory_mb(), sockets: default_sockets() }
    }
}

impl Limits {
    /// Maximum number of connections on each side of a daemon's instance, with `reserved_descriptors` for
    /// other purposes.
    pub fn max_connections(&self, reserved_descriptors: usize) -> usize {
        let max_by_memory = self.memory_mb.saturating_mul(1024) / DAEMON_CONNECTION_KIB;
        (self.sockets.saturating_sub(reserved_descriptors) / 2).min(max_by_memory).max(1)
    }

    /// For how many long bodies the memory of a daemon's instance suffices beside that of its connections.
    pub fn max_transfers(&self, reserved_descriptors: usize) -> usize {
        let connections_kib = connections_kib(self.max_connections(reserved_descriptors));
        (self.memory_mb.saturating_mul(1024).saturating_sub(connections_kib) / BUFFER_KIB_PER_TRANSFER).max(1)
    }
}

/// Memory limit of the smallest deployments, in MiB.
fn default_memory_mb() -> usize {
    192
}

/// Descriptor limit of the smallest deployments.
fn default_sockets() -> usize {
    1024
}

impl Config {
    /// Reads and validates the file that the environment names.
    pub fn from_env() -> Result<Config> {
        let path = std::env::var_os("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?;
        let shown_path = path.to_string_lossy().into_owned();
        let text = std::fs::read(&path).with_context(|| format!("cannot read {shown_path}"))?;
        let mut config =
            Config::parse(&text).with_context(|| format!("bad configuration in {shown_path}"))?;
        config.console = config.console.or(console_from_env()?);
        if let Some(name) = std::env::var_os("ROUTER_NAME").filter(|_| config.name.is_empty()) {
            config.name = name.to_string_lossy().into_owned();
        }
        // With an inherited listening socket, a successor may start while its predecessor still runs.
        if std::env::var_os("ROUTER_SOCKET_FD").is_some_and(|text| !text.is_empty()) {
            config.max_processes = 2;
        }
        match config.validation_errors().into_iter().next() {
            Some(error) => bail!("bad configuration in {shown_path} together with the environment: {error}"),
            None => Ok(config),
        }
    }

    /// The limits of connections and of long bodies.
    pub fn resource_limits(&self) -> Result<ResourceLimits> {
        divide(&self.limits, self.console.is_some(), self.max_processes).map_err(anyhow::Error::msg)
    }

    /// Parses and validates the text of a configuration.
    pub fn parse(text: &[u8]) -> Result<Config> {
        let config: Config = serde_json::from_slice(text)?;
        match config.validation_errors().into_iter().next() {
            Some(error) => bail!("{error}"),
            None => Ok(config),
        }
    }

    /// All errors in the text of a configuration; `None` if it is valid.
    pub fn errors_in(text: &[u8]) -> Option<Vec<String>> {
        let errors = match serde_json::from_slice::<Config>(text) {
            Ok(config) => config.validation_errors(),
            Err(error) => vec![error.to_string()],
        };
        (!errors.is_empty()).then_some(errors)
    }

    fn validation_errors(&self) -> Vec<String> {
        let setting_errors = self.settings.validation_errors().into_iter();
        let mut errors: Vec<String> =
            setting_errors.map(|(key, error)| format!("settings.{key}: {error}")).collect();
        if self.console.is_some_and(|console| console == self.listen && console.port() != 0) {
            errors.push(format!("console: {} is the address for clients (listen)", self.listen));
        }
        errors.extend(divide(&self.limits, self.console.is_some(), self.max_processes).err());
        errors
    }

    /// The settings for the decision module. If they give this sidecar no rank among its peers, its name
    /// identifies it.
    pub fn settings_with_identity(&self) -> SettingsObject {
        let settings = self.settings.clone();
        let identify_by_name = !settings.is_ranked() && !self.name.is_empty();
        if identify_by_name { settings.with_identity_from_name(&self.name) } else { settings }
    }

    /// The seed as a number.
    pub fn seed(&self) -> u64 {
        parse_seed(&self.seed)
    }
}

/// The address of the operators' console from the environment, used if the file has none.
fn console_from_env() -> Result<Option<SocketAddr>> {
    let Some(text) = std::env::var_os("ROUTER_CONSOLE").filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let text = text.to_string_lossy();
    let address = text.parse().with_context(|| format!("ROUTER_CONSOLE: {text:?} is not an address"))?;
    Ok(Some(address))
}

/// Parses a seed. A text that is not a hexadecimal number is hashed, so that different texts still give
/// different seeds.
pub fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16)
        .unwrap_or_else(|_| text.bytes().fold(7, |hash, byte| hash.wrapping_mul(31) + u64::from(byte)))
}

#[cfg(test)]
mod tests {
    use super::*;

    const MINIMAL: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{
        "classes":[{"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
        "allowed":{"max_attempts":3},"peers_total":3,"membership_mode":"automatic","telemetry":{},
        "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}}"#;

    #[test]
    fn minimal_configuration_is_valid_and_memory_limits_connections() {
        let config = Config::parse(MINIMAL.as_bytes()).expect("all required keys are set");
        assert_eq!(config.resource_limits().unwrap().connections, 500);
        let little_memory =
            Config::parse(MINIMAL.replace("{\"listen", "{\"limits\":{\"memory_mb\":16},\"listen").as_bytes());
        assert_eq!(
            little_memory.unwrap().resource_limits().unwrap().connections,
            35,
            "memory, not descriptors, is the limit"
        );
        assert!(config.initial_host_list.is_none());
    }

    #[test]
    fn invalid_or_missing_value_is_rejected() {
        for (from, to) in [
            (r#""aim":250.0"#, r#""aim":-1"#),
            (r#""name":"a""#, r#""name":"""#),
            (r#""max_attempts":3"#, r#""max_attempts":0"#),
            (r#""listen":"127.0.0.1:0""#, r#""listen":"here""#),
            (r#""cold_share":0.1"#, r#""cold_share":0"#),
            (r#""classes":["#, r#""klasses":["#),
        ] {
            assert!(MINIMAL.contains(from), "{from}");
            assert!(Config::parse(MINIMAL.replace(from, to).as_bytes()).is_err(), "{to}");
        }
    }
}
