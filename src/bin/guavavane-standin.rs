//! Stand-ins for tests and trials: worker, callers, relay, judge and demo.

fn main() -> anyhow::Result<()> {
    guavavane::standin::command::run()
}
