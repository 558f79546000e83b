//! Fleet files for scenarios and tests.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The platform's settings with its four classes, in TOML, with aims and deadlines in milliseconds.
pub const SETTINGS: &str = r#"
peers_total = 1
membership_mode = "automatic"
azs = ["east"]
kinds = ["std"]
classes = [
    { name = "page-fetch", effect = "repeatable", aim = 500.0, hard_limit = 2000.0, importance = 3.0 },
    { name = "draft-save", effect = "repeatable", put = true, aim = 500.0, hard_limit = 2000.0, importance = 3.0 },
    { name = "errata-log", effect = "by_key", dedup_scope = "cell", window = 2000.0, aim = 500.0, hard_limit = 2000.0, importance = 3.0 },
    { name = "copy-bill", effect = "once", aim = 500.0, hard_limit = 2000.0, importance = 2.0 },
]
allowed = { max_attempts = 4, probes = true, cancel = true, retry_after = true, max_retry_after = 600.0, connect_timeout = 250.0 }
invariants = { cold_share = 0.16, warm_up = 21000.0, fall_multiple = 2.5, fall = 1500.0 }
telemetry = { how = "pull", columns = ["inflight", "eps", "util"] }
"#;

/// A fleet file to be written.
#[derive(Debug, Clone)]
pub struct FleetFile {
    /// The folder that it and everything it names is in.
    pub folder: PathBuf,
    /// Threads.
    pub workers: usize,
    /// Whether state is kept.
    pub state: bool,
    /// The text of a file of listeners for UDP flows, if there is to be one.
    pub flows: Option<String>,
    /// Further lines of `[lifecycle]`.
    pub lifecycle: String,
    /// `[budgets]`: descriptors and connections to one upstream.
    pub budgets: (usize, usize),
    /// Descriptors of each instance, unless it says otherwise.
    pub sockets: usize,
    /// `[template.settings]`.
    pub settings: String,
    /// Where discovery is, unless an instance says otherwise.
    pub discovery: SocketAddr,
    /// The instances: name, address, and further lines.
    pub instances: Vec<(String, SocketAddr, String)>,
}

impl FleetFile {
    /// A fleet without instances in this folder.
    pub fn new(folder: &Path, discovery: SocketAddr) -> FleetFile {
        FleetFile {
            folder: folder.to_owned(),
            workers: 2,
            state: false,
            flows: None,
            lifecycle: String::new(),
            budgets: (16_000, 4_000),
            sockets: 64,
            settings: SETTINGS.to_owned(),
            discovery,
            instances: Vec::new(),
        }
    }

    /// Adds so many on ports that the system chooses, named `i0` and so on.
    pub fn with_instances(mut self, count: usize) -> FleetFile {
        for number in 0..count {
            self.instances.push((format!("i{number}"), ([127, 0, 0, 1], 0).into(), String::new()));
        }
        self
    }

    /// Its path.
    pub fn path(&self) -> PathBuf {
        self.folder.join("fleet.toml")
    }

    /// The control socket that it names.
    pub fn control(&self) -> PathBuf {
        self.folder.join("control.sock")
    }

    /// Its text.
    pub fn text(&self) -> String {
        let (descriptors, connections) = self.budgets;
        let state = if self.state { "state = \"state\"\n" } else { "" };
        let flows = if self.flows.is_some() { "flows = \"flows.toml\"\n" } else { "" };
        let mut text = format!(
            "[daemon]\nworkers = {}\ncontrol = \"control.sock\"\n{state}{flows}\n[budgets]\nmemory_mb = 16000\n\
             descriptors = {descriptors}\nconnections_per_upstream = {connections}\n\n[lifecycle]\n{}\n\n\
             [template]\ndiscovery = \"{}\"\nsockets = {}\nmemory_mb = 4\n\n[template.settings]{}\n",
            self.workers, self.lifecycle, self.discovery, self.sockets, self.settings
        );
        for (name, listen, more) in &self.instances {
            // Writing to a string does not fail.
            let _ = writeln!(text, "[[instance]]\nname = \"{name}\"\nlisten = \"{listen}\"\n{more}");
        }
        text
    }

    /// Puts it in its place, whole at once.
    pub fn write(&self) -> std::io::Result<()> {
        std::fs::create_dir_all(&self.folder)?;
        if let Some(flows) = &self.flows {
            std::fs::write(self.folder.join("flows.toml"), flows)?;
        }
        let beside = self.folder.join("fleet.new");
        std::fs::write(&beside, self.text())?;
        std::fs::rename(beside, self.path())
    }
}
