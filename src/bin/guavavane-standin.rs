//! Test doubles: worker, callers and relay, with the invariant checker and the demo.

fn main() -> anyhow::Result<()> {
    guavavane::standin::command::run()
}
