//! Checks a document whole and collects all its faults.

use std::ops::Range;
use std::sync::Arc;

use indexmap::IndexMap;
use toml::Spanned;

use crate::document::raw::RawBatch;
use crate::document::raw::RawDataCentre;
use crate::document::raw::RawDocument;
use crate::document::raw::RawRoute;
use crate::document::raw::RawService;
use crate::document::raw::RawTeam;
use crate::document::BatchSpec;
use crate::document::DataCentreSpec;
use crate::document::DocumentFault;
use crate::document::DocumentFaults;
use crate::document::EnvironmentDocument;
use crate::document::RouteRule;
use crate::document::ServiceSpec;
use crate::document::TeamSpec;
use crate::document::DOCUMENT_MAX_BYTES;
use crate::name::DataCentreName;
use crate::name::NameError;
use crate::name::TeamName;
use crate::resource::ResourceVector;

/// Most instances of a service and most tasks of a batch.
const COUNT_MAX: u32 = 100_000;

/// Longest run time of a task: 30 days.
const RUN_MS_MAX: u64 = 30 * 24 * 3_600 * 1_000;

/// Longest time for a request: 10 minutes.
const REQUEST_TIMEOUT_MS_MAX: u32 = 600_000;

/// Longest key of a run, in bytes.
const RUN_KEY_MAX_BYTES: usize = 128;

impl EnvironmentDocument {
    /// Checks a document.
    ///
    /// # Errors
    ///
    /// Fails with all faults that were found; a text that is not TOML, or has unknown or
    /// missing fields, has one.
    pub fn parse(text: &str) -> Result<Self, DocumentFaults> {
        if text.len() > DOCUMENT_MAX_BYTES {
            let reason = format!("{} bytes; at most {DOCUMENT_MAX_BYTES}", text.len());
            return Err(single_fault(0, "document", reason));
        }
        let raw: RawDocument = toml::from_str(text).map_err(|error| syntax_fault(text, &error))?;
        let mut check = DocumentCheck {
            text,
            faults: Vec::new(),
        };
        let document = check.document(raw);
        if check.faults.is_empty() {
            Ok(document)
        } else {
            Err(check.into_faults())
        }
    }
}

fn single_fault(line: usize, field: &str, reason: String) -> DocumentFaults {
    DocumentFaults(vec![DocumentFault {
        line,
        field: field.to_owned(),
        reason,
    }])
}

fn syntax_fault(text: &str, error: &toml::de::Error) -> DocumentFaults {
    let line = error.span().map_or(0, |span| line_of(text, span.start));
    single_fault(line, "document", error.message().to_owned())
}

fn line_of(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

struct DocumentCheck<'a> {
    text: &'a str,
    faults: Vec<DocumentFault>,
}

impl DocumentCheck<'_> {
    fn into_faults(mut self) -> DocumentFaults {
        self.faults.sort_by_key(|fault| fault.line);
        DocumentFaults(self.faults)
    }

    fn fault(&mut self, span: Range<usize>, field: &str, reason: impl ToString) {
        self.faults.push(DocumentFault {
            line: line_of(self.text, span.start),
            field: field.to_owned(),
            reason: reason.to_string(),
        });
    }

    fn name<N>(&mut self, raw: &Spanned<String>, field: &str) -> Option<N>
    where
        N: for<'b> TryFrom<&'b str, Error = NameError>,
    {
        match N::try_from(raw.get_ref().as_str()) {
            Ok(name) => Some(name),
            Err(error) => {
                self.fault(raw.span(), field, error);
                None
            }
        }
    }

    fn document(&mut self, raw: RawDocument) -> EnvironmentDocument {
        let data_centres = self.data_centres(raw.data_centre);
        let teams = self.teams(raw.team);
        let services = self.services(raw.service, &data_centres, &teams);
        let batches = self.batches(raw.batch, &data_centres, &teams);
        EnvironmentDocument {
            data_centres,
            teams,
            services,
            batches,
        }
    }

    fn data_centres(
        &mut self,
        raw: Vec<Spanned<RawDataCentre>>,
    ) -> IndexMap<DataCentreName, DataCentreSpec> {
        let mut checked = IndexMap::new();
        for item in raw {
            let span = item.span();
            let item = item.into_inner();
            let name = self.name(&item.name, "data_centre.name");
            let region = self.name(&item.region, "data_centre.region");
            let (Some(name), Some(region)) = (name, region) else {
                continue;
            };
            let spec = DataCentreSpec { name, region };
            self.insert(
                &mut checked,
                spec.name.clone(),
                spec,
                span,
                "data_centre.name",
            );
        }
        if checked.is_empty() {
            self.fault(0..0, "data_centre", "at least one is needed");
        }
        checked
    }

    fn teams(&mut self, raw: Vec<Spanned<RawTeam>>) -> IndexMap<TeamName, TeamSpec> {
        let mut checked = IndexMap::new();
        for item in raw {
            let span = item.span();
            let item = item.into_inner();
            if item.weight == 0 {
                self.fault(span.clone(), "team.weight", "0; at least 1");
            }
            let Some(name) = self.name::<TeamName>(&item.name, "team.name") else {
                continue;
            };
            let spec = TeamSpec {
                name,
                weight: item.weight,
                quota: item.quota,
            };
            self.insert(&mut checked, spec.name.clone(), spec, span, "team.name");
        }
        checked
    }

    fn services(
        &mut self,
        raw: Vec<Spanned<RawService>>,
        data_centres: &IndexMap<DataCentreName, DataCentreSpec>,
        teams: &IndexMap<TeamName, TeamSpec>,
    ) -> IndexMap<crate::name::ServiceName, ServiceSpec> {
        let mut checked = IndexMap::new();
        for item in raw {
            let span = item.span();
            let item = item.into_inner();
            let name = self.name(&item.name, "service.name");
            let team = self.team(&item.team, "service.team", teams);
            let allowed =
                self.allowed_data_centres(&item.data_centres, "service.data_centres", data_centres);
            self.count(&item.instances, "service.instances");
            self.demand(&item.demand, "service.demand");
            self.service_limits(&item, &span);
            let routes = self.routes(&item.routes);
            let (Some(name), Some(team)) = (name, team) else {
                continue;
            };
            let spec = ServiceSpec {
                name,
                team,
                data_centres: allowed,
                instances: *item.instances.get_ref(),
                demand: *item.demand.get_ref(),
                slots: item.slots,
                connections: item.connections,
                request_timeout_ms: item.request_timeout_ms,
                hedge: item.hedge,
                routes,
            };
            self.insert(&mut checked, spec.name.clone(), spec, span, "service.name");
        }
        checked
    }

    fn service_limits(&mut self, item: &RawService, span: &Range<usize>) {
        if item.slots == 0 {
            self.fault(span.clone(), "service.slots", "0; at least 1");
        }
        if item.connections < item.slots {
            let reason = format!("{}; at least the {} slots", item.connections, item.slots);
            self.fault(span.clone(), "service.connections", reason);
        }
        let timeout = item.request_timeout_ms;
        if timeout == 0 || timeout > REQUEST_TIMEOUT_MS_MAX {
            let reason = format!("{timeout}; 1 to {REQUEST_TIMEOUT_MS_MAX}");
            self.fault(span.clone(), "service.request_timeout_ms", reason);
        }
    }

    fn routes(&mut self, raw: &[RawRoute]) -> Vec<RouteRule> {
        raw.iter().map(|route| self.route(route)).collect()
    }

    fn route(&mut self, raw: &RawRoute) -> RouteRule {
        if let Some(method) = &raw.method {
            if !method.get_ref().bytes().all(|c| c.is_ascii_uppercase()) {
                self.fault(method.span(), "service.routes.method", "upper case only");
            }
        }
        if !raw.path_prefix.get_ref().starts_with('/') {
            let span = raw.path_prefix.span();
            self.fault(span, "service.routes.path_prefix", "must start with '/'");
        }
        RouteRule {
            method: raw.method.as_ref().map(|method| method.get_ref().clone()),
            path_prefix: raw.path_prefix.get_ref().clone(),
            idempotent: raw.idempotent,
        }
    }

    fn batches(
        &mut self,
        raw: Vec<Spanned<RawBatch>>,
        data_centres: &IndexMap<DataCentreName, DataCentreSpec>,
        teams: &IndexMap<TeamName, TeamSpec>,
    ) -> IndexMap<crate::name::BatchName, BatchSpec> {
        let mut checked = IndexMap::new();
        for item in raw {
            let span = item.span();
            let item = item.into_inner();
            let name = self.name(&item.name, "batch.name");
            let team = self.team(&item.team, "batch.team", teams);
            let allowed =
                self.allowed_data_centres(&item.data_centres, "batch.data_centres", data_centres);
            self.count(&item.tasks, "batch.tasks");
            self.demand(&item.demand, "batch.demand");
            self.run_time(&item.run_ms);
            let runs = self.runs(&item.runs);
            let (Some(name), Some(team)) = (name, team) else {
                continue;
            };
            let spec = BatchSpec {
                name,
                team,
                data_centres: allowed,
                tasks: *item.tasks.get_ref(),
                demand: *item.demand.get_ref(),
                run_ms: *item.run_ms.get_ref(),
                urgent: item.urgent,
                max_failures: item.max_failures.max(1),
                runs,
            };
            self.insert(&mut checked, spec.name.clone(), spec, span, "batch.name");
        }
        checked
    }

    fn run_time(&mut self, run_ms: &Spanned<u64>) {
        if !(1..=RUN_MS_MAX).contains(run_ms.get_ref()) {
            let reason = format!("{}; 1 to {RUN_MS_MAX}", run_ms.get_ref());
            self.fault(run_ms.span(), "batch.run_ms", reason);
        }
    }

    fn runs(&mut self, raw: &[Spanned<String>]) -> Vec<Arc<str>> {
        let mut keys: Vec<Arc<str>> = Vec::with_capacity(raw.len());
        for run in raw {
            let key = run.get_ref().as_str();
            if key.is_empty() || key.len() > RUN_KEY_MAX_BYTES {
                let reason = format!("{key:?}; 1 to {RUN_KEY_MAX_BYTES} bytes");
                self.fault(run.span(), "batch.runs", reason);
            } else if keys.iter().any(|known| known.as_ref() == key) {
                self.fault(run.span(), "batch.runs", format!("{key:?} is there twice"));
            }
            keys.push(Arc::from(key));
        }
        keys
    }

    fn team(
        &mut self,
        raw: &Spanned<String>,
        field: &str,
        teams: &IndexMap<TeamName, TeamSpec>,
    ) -> Option<TeamName> {
        let name = self.name::<TeamName>(raw, field)?;
        if !teams.contains_key(&name) {
            self.fault(raw.span(), field, format!("no team {name} is declared"));
        }
        Some(name)
    }

    /// The data centres of the list, or all that are declared if the list is empty.
    fn allowed_data_centres(
        &mut self,
        raw: &[Spanned<String>],
        field: &str,
        declared: &IndexMap<DataCentreName, DataCentreSpec>,
    ) -> Arc<[DataCentreName]> {
        if raw.is_empty() {
            return declared.keys().cloned().collect();
        }
        let mut allowed = Vec::with_capacity(raw.len());
        for item in raw {
            let Some(name) = self.name::<DataCentreName>(item, field) else {
                continue;
            };
            if !declared.contains_key(&name) {
                self.fault(item.span(), field, format!("no data centre {name}"));
            }
            allowed.push(name);
        }
        allowed.into()
    }

    fn count(&mut self, raw: &Spanned<u32>, field: &str) {
        if !(1..=COUNT_MAX).contains(raw.get_ref()) {
            let reason = format!("{}; 1 to {COUNT_MAX}", raw.get_ref());
            self.fault(raw.span(), field, reason);
        }
    }

    fn demand(&mut self, raw: &Spanned<ResourceVector>, field: &str) {
        let demand = raw.get_ref();
        if demand.cpu_millis == 0 || demand.memory_mib == 0 {
            self.fault(raw.span(), field, "needs cpu_millis and memory_mib above 0");
        }
    }

    fn insert<K, V>(
        &mut self,
        checked: &mut IndexMap<K, V>,
        key: K,
        value: V,
        span: Range<usize>,
        field: &str,
    ) where
        K: std::hash::Hash + Eq + std::fmt::Display,
    {
        if checked.contains_key(&key) {
            self.fault(span, field, format!("{key} is declared twice"));
            return;
        }
        checked.insert(key, value);
    }
}
