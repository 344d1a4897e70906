//! `day_pairs CATALOGUE FOLDER SEED`: writes a day file for each pair of the catalogue into the
//! folder, and prints their paths.

use std::env;
use std::fs;
use std::path::PathBuf;

use anyhow::Context;
use day_pairs::catalogue::FaultCatalogue;
use day_pairs::pairs::generate_days;

/// The command-line argument at this position.
fn argument(position: usize) -> anyhow::Result<String> {
    env::args().nth(position).context("CATALOGUE FOLDER SEED")
}

fn main() -> anyhow::Result<()> {
    let catalogue = FaultCatalogue::parse(&fs::read_to_string(argument(1)?)?)?;
    let folder = PathBuf::from(argument(2)?);
    let seed = argument(3)?.parse()?;
    fs::create_dir_all(&folder)?;
    for day in generate_days(&catalogue, seed)? {
        let path = folder.join(format!("{}.toml", day.name));
        fs::write(&path, day.render()?)?;
        println!("{}", path.display());
    }
    Ok(())
}
