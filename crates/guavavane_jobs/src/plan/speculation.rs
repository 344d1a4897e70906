//! Chooses the runs that get a copy because they take much longer than others of their step.
//!
//! The load: 3 in 100 runs take seven times as long as the others, declared run times are wrong by
//! half to nine tenths, and workers are slow or hang. A job is late with its slowest task. So the
//! thresholds follow from observed run times, by queue and step, and not from declared ones.
//!
//! - [`StepRunTimes`] keeps a histogram of the run times of each step of a queue. A run gets a copy
//!   once it has taken longer than `DELAY_FACTOR` times the quantile `DELAY_QUANTILE`, if runs that
//!   take so long have on average at least `GAIN_FACTOR` times the mean run time still ahead of them.
//! - [`SpeculationWatch`] orders the runs by the time at which they pass that threshold, so that the
//!   cost follows the runs that start and not those that are in progress.
//! - [`choose_copies`] places the copies like ordinary tasks, on another VM and rack than the first
//!   run, within a budget: none while steps wait for the same pool, a part of the pool's running
//!   tasks, and a part of its idle processor. So copies use only capacity that nothing else asks for.

mod copy_plan;
mod run_times;
mod watch;

pub use self::copy_plan::choose_copies;
pub use self::copy_plan::CopyObstacle;
pub use self::copy_plan::CopyPlan;
pub use self::run_times::StepRunTimes;
pub use self::watch::OverdueRun;
pub use self::watch::SpeculationWatch;
