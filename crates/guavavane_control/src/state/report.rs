//! Builds the status reports for operators from the replicated state.

use crate::state::job_record::JobRecord;
use crate::state::job_record::TaskPhase;
use crate::state::ControlState;
use guavavane_model::prelude::DataCentreName;
use guavavane_model::prelude::JobId;
use guavavane_protocol::operator::CellStatus;
use guavavane_protocol::operator::DataCentreReport;
use guavavane_protocol::operator::JobStatus;
use guavavane_protocol::operator::WorkerStatus;

impl ControlState {
    /// Returns whether a data centre is in service, and its numbers of workers and committed tasks.
    pub fn data_centre_report(&self, name: &DataCentreName) -> DataCentreReport {
        let status = self.data_centres.status(name);
        let mut report = DataCentreReport {
            name: status.name,
            out: status.out,
            version: status.version,
            workers: 0,
            tasks: 0,
        };
        for (_, worker) in self.workers.iter() {
            if worker.data_centre == *name {
                report.workers += 1;
                report.tasks += u32::try_from(worker.tasks.len()).unwrap_or(u32::MAX);
            }
        }
        report
    }

    /// Returns the status of the cell. The leader adds the silence of workers, the replicas and the
    /// number of committed entries.
    pub fn cell_status(&self) -> CellStatus {
        let mut names: Vec<DataCentreName> = self
            .workers
            .iter()
            .map(|(_, worker)| worker.data_centre.clone())
            .chain(self.data_centres.statuses().into_iter().map(|s| s.name))
            .collect();
        names.sort();
        names.dedup();
        CellStatus {
            documents: self.documents.current_versions(),
            data_centres: names
                .iter()
                .map(|name| self.data_centre_report(name))
                .collect(),
            workers: self.worker_statuses(),
            replicas: Vec::new(),
            claims: self.claims.len() as u64,
            committed_entries: 0,
        }
    }

    fn worker_statuses(&self) -> Vec<WorkerStatus> {
        self.workers
            .iter()
            .map(|(name, worker)| WorkerStatus {
                name: name.clone(),
                data_centre: worker.data_centre.clone(),
                rack: worker.rack.clone(),
                boot: worker.boot,
                capacity: worker.capacity,
                committed: worker.committed,
                silent_ms: None,
            })
            .collect()
    }

    /// Returns the status of all kept jobs, oldest first.
    pub fn job_statuses(&self) -> Vec<JobStatus> {
        let mut statuses: Vec<JobStatus> = self
            .jobs
            .jobs()
            .map(|(id, job)| self.job_status(id, job))
            .collect();
        statuses.sort_by_key(|status| status.job);
        statuses
    }

    fn job_status(&self, id: JobId, job: &JobRecord) -> JobStatus {
        let mut status = JobStatus {
            job: id,
            workload: job.origin.workload().to_owned(),
            team: job.spec.team.as_str().to_owned(),
            pending: 0,
            running: 0,
            finished: 0,
            cancelled: 0,
            failed: 0,
            evictions: job.evictions,
            impossible: None,
        };
        for task in job.tasks.iter().filter_map(|task| self.jobs.task(*task)) {
            match task.phase {
                TaskPhase::Pending => status.pending += 1,
                TaskPhase::Committed(_) => status.running += 1,
                TaskPhase::Finished => status.finished += 1,
                TaskPhase::Cancelled => status.cancelled += 1,
                TaskPhase::GivenUp => status.failed += 1,
            }
            if status.impossible.is_none() {
                status.impossible.clone_from(&task.impossible);
            }
        }
        status
    }
}
