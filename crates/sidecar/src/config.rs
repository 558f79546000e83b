//! What the sidecar is told at start: the file named by `ROUTER_CONFIG`, checked before anything runs.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use sagemast_decide::settings::Config as SettingsObject;
use serde::Deserialize;

use crate::hosts::HostList;
use crate::resource_limits::{ResourceLimits, divide};

/// The configuration file.
#[derive(Deserialize)]
pub struct Config {
    /// Its name, the same after a restart.
    #[serde(default)]
    pub name: String,
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery is asked.
    pub discovery: SocketAddr,
    /// Where operators call; none where there is no such address.
    #[serde(default)]
    pub console: Option<SocketAddr>,
    /// For random numbers, in hexadecimal digits.
    #[serde(default)]
    pub seed: String,
    /// What the surroundings allow this process.
    #[serde(default)]
    pub limits: Limits,
    /// The list of upstreams as this sidecar last had it.
    #[serde(default)]
    pub known: Option<HostList>,
    /// The settings that the module and the wire share.
    pub settings: SettingsObject,
    /// How many processes of this sidecar may run at once.
    #[serde(skip, default = "one")]
    pub processes: usize,
}

fn one() -> usize {
    1
}

/// What a busy connection of a daemon's instance may hold: its buffer, a body each way, and the same again towards the
/// upstream.
const CONNECTION_KIB: usize = 256;

/// What the surroundings allow this process.
#[derive(Deserialize)]
pub struct Limits {
    /// Memory, in MiB.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// File descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: default_memory(), sockets: default_sockets() }
    }
}

impl Limits {
    /// How many connections an instance of a daemon may have on each side, where so many descriptors are for other
    /// things.
    pub fn connections_beside(&self, own: usize) -> usize {
        let by_memory = self.memory_mb.saturating_mul(1024) / CONNECTION_KIB;
        (self.sockets.saturating_sub(own) / 2).min(by_memory).max(1)
    }
}

/// What the smallest deployments allow.
fn default_memory() -> usize {
    192
}

/// The same for descriptors.
fn default_sockets() -> usize {
    1024
}

impl Config {
    /// Reads and checks the file that the environment names.
    pub fn from_env() -> Result<Config> {
        let path = std::env::var_os("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?;
        let shown = path.to_string_lossy().into_owned();
        let text = std::fs::read(&path).with_context(|| format!("cannot read {shown}"))?;
        let mut config = Config::parse(&text).with_context(|| format!("bad configuration in {shown}"))?;
        config.console = config.console.or(console_from_env()?);
        if let Some(name) = std::env::var_os("ROUTER_NAME").filter(|_| config.name.is_empty()) {
            config.name = name.to_string_lossy().into_owned();
        }
        // Where somebody else holds the listening socket, two processes may run at once.
        if std::env::var_os("ROUTER_SOCKET_FD").is_some_and(|text| !text.is_empty()) {
            config.processes = 2;
        }
        match config.own_faults().into_iter().next() {
            Some(fault) => bail!("bad configuration in {shown}, with what the environment adds: {fault}"),
            None => Ok(config),
        }
    }

    /// What there is for connections and long bodies.
    pub fn resource_limits(&self) -> Result<ResourceLimits> {
        divide(&self.limits, self.console.is_some(), self.processes).map_err(anyhow::Error::msg)
    }

    /// Reads and checks the text of a configuration.
    pub fn parse(text: &[u8]) -> Result<Config> {
        let config: Config = serde_json::from_slice(text)?;
        match config.own_faults().into_iter().next() {
            Some(fault) => bail!("{fault}"),
            None => Ok(config),
        }
    }

    /// All that is wrong with the text of a configuration; `None` if it is sound.
    pub fn faults(text: &[u8]) -> Option<Vec<String>> {
        let faults = match serde_json::from_slice::<Config>(text) {
            Ok(config) => config.own_faults(),
            Err(error) => vec![error.to_string()],
        };
        (!faults.is_empty()).then_some(faults)
    }

    fn own_faults(&self) -> Vec<String> {
        let settings = self.settings.validation_errors().into_iter();
        let mut faults: Vec<String> =
            settings.map(|(key, fault)| format!("settings.{key}: {fault}")).collect();
        if self.console.is_some_and(|console| console == self.listen && console.port() != 0) {
            faults.push(format!("console: {} is where clients connect (listen)", self.listen));
        }
        faults.extend(divide(&self.limits, self.console.is_some(), self.processes).err());
        faults
    }

    /// The settings for the module: where they give this sidecar no number among its peers, its name tells it apart.
    pub fn identified(&self) -> SettingsObject {
        let settings = self.settings.clone();
        let by_name = !settings.is_ranked() && !self.name.is_empty();
        if by_name { settings.with_identity_from_name(&self.name) } else { settings }
    }

    /// The seed as a number; one that is not in hexadecimal digits still makes a seed of its own.
    pub fn seed(&self) -> u64 {
        seed_of(&self.seed)
    }
}

/// The operators' address where the file has none.
fn console_from_env() -> Result<Option<SocketAddr>> {
    let Some(text) = std::env::var_os("ROUTER_CONSOLE").filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let text = text.to_string_lossy();
    let address = text.parse().with_context(|| format!("ROUTER_CONSOLE: {text:?} is no address"))?;
    Ok(Some(address))
}

/// A seed from its text.
pub fn seed_of(text: &str) -> u64 {
    u64::from_str_radix(text, 16)
        .unwrap_or_else(|_| text.bytes().fold(7, |sum, b| sum.wrapping_mul(31) + u64::from(b)))
}

#[cfg(test)]
mod tests {
    use super::*;

    const MINIMAL: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{
        "classes":[{"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
        "allowed":{"max_attempts":3},"peers_total":3,"membership_mode":"automatic","telemetry":{},
        "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}}"#;

    #[test]
    fn a_minimal_configuration_is_enough() {
        let config = Config::parse(MINIMAL.as_bytes()).expect("it holds all that is needed");
        assert_eq!(config.resource_limits().unwrap().connections, 500);
        let scarce =
            Config::parse(MINIMAL.replace("{\"listen", "{\"limits\":{\"memory_mb\":16},\"listen").as_bytes());
        assert_eq!(scarce.unwrap().resource_limits().unwrap().connections, 53, "memory binds before sockets");
        assert!(config.known.is_none());
    }

    #[test]
    fn nonsense_is_told_from_a_configuration() {
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
