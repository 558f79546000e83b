//! Two buildings with stand-in upstreams, and a fleet with an instance in each that takes its limits from a file.

use std::path::Path;
use std::sync::Arc;

use sagemast_sidecar::hosts::Health;

use crate::discovery::Discovery;
use crate::effects::Effects;
use crate::fleet::FleetFile;
use crate::upstream::{Cell, Nature, Upstream};

/// The buildings, by zone, and the mark of the clients in each: the first digit of their requests' ids.
pub const BUILDINGS: [(&str, char); 2] = [("howard-ave", 'a'), ("pass-road", 'b')];

/// The stand-ins and the fleet's file. Instances have the names of their buildings.
pub struct Buildings {
    /// What was run, and where it came.
    pub effects: Arc<Effects>,
    /// Discovery.
    pub discovery: Discovery,
    /// Those of the first building, then those of the second.
    pub upstreams: Vec<Upstream>,
    /// The fleet, yet to be started.
    pub file: FleetFile,
}

impl Buildings {
    /// So many upstreams in each, whose keys are remembered by building.
    pub async fn start(folder: &Path, count: [usize; 2], nature: Nature) -> std::io::Result<Buildings> {
        let (effects, discovery) = (Arc::new(Effects::default()), Discovery::start().await?);
        std::fs::create_dir_all(folder)?;
        let mut upstreams = Vec::new();
        for (block, (building, _)) in BUILDINGS.into_iter().enumerate() {
            let cell = Cell::default();
            for number in 0..count[block] {
                let nature = Nature { place: (building, block as u64), ..nature.clone() };
                let upstream = Upstream::start(nature, effects.clone(), cell.clone()).await?;
                discovery.put(&format!("{building}-{number}"), &upstream, Health::Ready);
                upstreams.push(upstream);
            }
        }
        let mut file = FleetFile::new(folder, discovery.address);
        file.sockets = 256;
        file.settings = file.settings.replace(r#"azs = ["east"]"#, r#"azs = ["howard-ave", "pass-road"]"#);
        for (zone, (building, _)) in BUILDINGS.into_iter().enumerate() {
            let more = format!("pools = \"pools.toml\"\nsettings.zone = {zone}");
            file.instances.push((building.to_owned(), ([127, 0, 0, 1], 0).into(), more));
        }
        Ok(Buildings { effects, discovery, upstreams, file })
    }

    /// Puts a file of limits where the fleet looks for it.
    pub fn limit(&self, text: &str) -> std::io::Result<()> {
        std::fs::write(self.file.folder.join("pools.toml"), text)
    }

    /// The upstreams of a building.
    pub fn of(&self, zone: usize) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().filter(move |upstream| upstream.place().0 == BUILDINGS[zone].0)
    }

    /// Has discovery tell this of every upstream of a building.
    pub fn tell(&self, zone: usize, health: Health) {
        let building = BUILDINGS[zone].0;
        self.of(zone).enumerate().for_each(|(number, upstream)| {
            self.discovery.put(&format!("{building}-{number}"), upstream, health);
        });
    }

    /// Attempts that came to upstreams, as these tell it: all of them, and those from the other building.
    pub fn came(&self) -> (u64, u64) {
        let pairs = BUILDINGS.iter().flat_map(|(_, mark)| BUILDINGS.map(|(to, home)| (*mark, to, home)));
        pairs.fold((0, 0), |(all, across), (mark, to, home)| {
            let came = self.effects.came_to(mark, to);
            (all + came, across + if mark == home { 0 } else { came })
        })
    }
}
