//! Validates a document and collects all its errors.
//!
//! Validation goes on after an error: an item with an invalid or duplicate name is left out, any
//! other invalid value is kept, and the document is returned only if no error was found.

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

/// Largest number of instances of a service and of tasks of a batch run.
const TASK_COUNT_MAX: u32 = 100_000;

/// Longest declared run time of a task, in milliseconds: 30 days.
const RUN_TIME_MAX_MS: u64 = 30 * 24 * 3_600 * 1_000;

/// Longest timeout of a request, in milliseconds: 10 minutes.
const REQUEST_TIMEOUT_MAX_MS: u32 = 600_000;

/// Longest key of a batch run, in bytes.
const RUN_KEY_MAX_BYTES: usize = 128;

impl EnvironmentDocument {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Fails with all validation errors. A text that is too long, is not TOML, or has unknown or
    /// missing fields, fails with that one error.
    pub fn parse(text: &str) -> Result<Self, DocumentFaults> {
        if text.len() > DOCUMENT_MAX_BYTES {
            let reason = format!("{} bytes; at most {DOCUMENT_MAX_BYTES}", text.len());
            return Err(single_error(0, "document", reason));
        }
        let raw: RawDocument = toml::from_str(text).map_err(|error| syntax_error(text, &error))?;
        let mut validator = DocumentValidator {
            text,
            errors: Vec::new(),
        };
        let document = validator.validate_document(raw);
        if validator.errors.is_empty() {
            Ok(document)
        } else {
            Err(validator.into_errors())
        }
    }
}

fn single_error(line: usize, field: &str, reason: String) -> DocumentFaults {
    DocumentFaults(vec![DocumentFault {
        line,
        field: field.to_owned(),
        reason,
    }])
}

fn syntax_error(text: &str, error: &toml::de::Error) -> DocumentFaults {
    let line = error.span().map_or(0, |span| line_number(text, span.start));
    single_error(line, "document", error.message().to_owned())
}

fn line_number(text: &str, offset: usize) -> usize {
    let preceding = &text.as_bytes()[..offset.min(text.len())];
    preceding.iter().filter(|byte| **byte == b'\n').count() + 1
}

struct DocumentValidator<'a> {
    text: &'a str,
    errors: Vec<DocumentFault>,
}

impl DocumentValidator<'_> {
    fn into_errors(mut self) -> DocumentFaults {
        self.errors.sort_by_key(|error| error.line);
        DocumentFaults(self.errors)
    }

    fn report_error(&mut self, span: Range<usize>, field: &str, reason: impl ToString) {
        self.errors.push(DocumentFault {
            line: line_number(self.text, span.start),
            field: field.to_owned(),
            reason: reason.to_string(),
        });
    }

    fn parse_name<N>(&mut self, raw: &Spanned<String>, field: &str) -> Option<N>
    where
        N: for<'b> TryFrom<&'b str, Error = NameError>,
    {
        match N::try_from(raw.get_ref().as_str()) {
            Ok(name) => Some(name),
            Err(error) => {
                self.report_error(raw.span(), field, error);
                None
            }
        }
    }

    fn validate_document(&mut self, raw: RawDocument) -> EnvironmentDocument {
        let data_centres = self.validate_data_centres(raw.data_centre);
        let teams = self.validate_teams(raw.team);
        let services = self.validate_services(raw.service, &data_centres, &teams);
        let batches = self.validate_batches(raw.batch, &data_centres, &teams);
        EnvironmentDocument {
            data_centres,
            teams,
            services,
            batches,
        }
    }

    fn validate_data_centres(
        &mut self,
        raw: Vec<Spanned<RawDataCentre>>,
    ) -> IndexMap<DataCentreName, DataCentreSpec> {
        let mut checked = IndexMap::new();
        for item in raw {
            let span = item.span();
            let item = item.into_inner();
            let name = self.parse_name(&item.name, "data_centre.name");
            let region = self.parse_name(&item.region, "data_centre.region");
            let (Some(name), Some(region)) = (name, region) else {
                continue;
            };
            let spec = DataCentreSpec { name, region };
            self.insert_unique(
                &mut checked,
                spec.name.clone(),
                spec,
                span,
                "data_centre.name",
            );
        }
        if checked.is_empty() {
            self.report_error(0..0, "data_centre", "at least one is required");
        }
        checked
    }

    fn validate_teams(&mut self, raw: Vec<Spanned<RawTeam>>) -> IndexMap<TeamName, TeamSpec> {
        let mut checked = IndexMap::new();
        for item in raw {
            let span = item.span();
            let item = item.into_inner();
            if item.weight == 0 {
                self.report_error(span.clone(), "team.weight", "0; at least 1");
            }
            let Some(name) = self.parse_name::<TeamName>(&item.name, "team.name") else {
                continue;
            };
            let spec = TeamSpec {
                name,
                weight: item.weight,
                quota: item.quota,
            };
            self.insert_unique(&mut checked, spec.name.clone(), spec, span, "team.name");
        }
        checked
    }

    fn validate_services(
        &mut self,
        raw: Vec<Spanned<RawService>>,
        data_centres: &IndexMap<DataCentreName, DataCentreSpec>,
        teams: &IndexMap<TeamName, TeamSpec>,
    ) -> IndexMap<crate::name::ServiceName, ServiceSpec> {
        let mut checked = IndexMap::new();
        for item in raw {
            let span = item.span();
            let item = item.into_inner();
            let name = self.parse_name(&item.name, "service.name");
            let team = self.resolve_team(&item.team, "service.team", teams);
            let allowed =
                self.resolve_data_centres(&item.data_centres, "service.data_centres", data_centres);
            self.validate_count(&item.instances, "service.instances");
            self.validate_demand(&item.demand, "service.demand");
            self.validate_service_limits(&item, &span);
            let routes = self.validate_routes(&item.routes);
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
            self.insert_unique(&mut checked, spec.name.clone(), spec, span, "service.name");
        }
        checked
    }

    fn validate_service_limits(&mut self, item: &RawService, span: &Range<usize>) {
        if item.slots == 0 {
            self.report_error(span.clone(), "service.slots", "0; at least 1");
        }
        if item.connections < item.slots {
            let reason = format!("{}; at least the {} slots", item.connections, item.slots);
            self.report_error(span.clone(), "service.connections", reason);
        }
        let timeout = item.request_timeout_ms;
        if timeout == 0 || timeout > REQUEST_TIMEOUT_MAX_MS {
            let reason = format!("{timeout}; 1 to {REQUEST_TIMEOUT_MAX_MS}");
            self.report_error(span.clone(), "service.request_timeout_ms", reason);
        }
    }

    fn validate_routes(&mut self, raw: &[RawRoute]) -> Vec<RouteRule> {
        raw.iter().map(|route| self.validate_route(route)).collect()
    }

    fn validate_route(&mut self, raw: &RawRoute) -> RouteRule {
        if let Some(method) = &raw.method {
            if !method.get_ref().bytes().all(|c| c.is_ascii_uppercase()) {
                self.report_error(method.span(), "service.routes.method", "must be upper case");
            }
        }
        if !raw.path_prefix.get_ref().starts_with('/') {
            let span = raw.path_prefix.span();
            self.report_error(span, "service.routes.path_prefix", "must start with '/'");
        }
        RouteRule {
            method: raw.method.as_ref().map(|method| method.get_ref().clone()),
            path_prefix: raw.path_prefix.get_ref().clone(),
            idempotent: raw.idempotent,
        }
    }

    fn validate_batches(
        &mut self,
        raw: Vec<Spanned<RawBatch>>,
        data_centres: &IndexMap<DataCentreName, DataCentreSpec>,
        teams: &IndexMap<TeamName, TeamSpec>,
    ) -> IndexMap<crate::name::BatchName, BatchSpec> {
        let mut checked = IndexMap::new();
        for item in raw {
            let span = item.span();
            let item = item.into_inner();
            let name = self.parse_name(&item.name, "batch.name");
            let team = self.resolve_team(&item.team, "batch.team", teams);
            let allowed =
                self.resolve_data_centres(&item.data_centres, "batch.data_centres", data_centres);
            self.validate_count(&item.tasks, "batch.tasks");
            self.validate_demand(&item.demand, "batch.demand");
            self.validate_run_time(&item.run_ms);
            let runs = self.validate_run_keys(&item.runs);
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
            self.insert_unique(&mut checked, spec.name.clone(), spec, span, "batch.name");
        }
        checked
    }

    fn validate_run_time(&mut self, run_ms: &Spanned<u64>) {
        if !(1..=RUN_TIME_MAX_MS).contains(run_ms.get_ref()) {
            let reason = format!("{}; 1 to {RUN_TIME_MAX_MS}", run_ms.get_ref());
            self.report_error(run_ms.span(), "batch.run_ms", reason);
        }
    }

    fn validate_run_keys(&mut self, raw: &[Spanned<String>]) -> Vec<Arc<str>> {
        let mut keys: Vec<Arc<str>> = Vec::with_capacity(raw.len());
        for run in raw {
            let key = run.get_ref().as_str();
            if key.is_empty() || key.len() > RUN_KEY_MAX_BYTES {
                let reason = format!("{key:?}; 1 to {RUN_KEY_MAX_BYTES} bytes");
                self.report_error(run.span(), "batch.runs", reason);
            } else if keys.iter().any(|earlier| earlier.as_ref() == key) {
                self.report_error(run.span(), "batch.runs", format!("{key:?} is listed twice"));
            }
            keys.push(Arc::from(key));
        }
        keys
    }

    fn resolve_team(
        &mut self,
        raw: &Spanned<String>,
        field: &str,
        teams: &IndexMap<TeamName, TeamSpec>,
    ) -> Option<TeamName> {
        let name = self.parse_name::<TeamName>(raw, field)?;
        if !teams.contains_key(&name) {
            self.report_error(raw.span(), field, format!("team {name} is not declared"));
        }
        Some(name)
    }

    /// Returns the listed data centres, or all declared ones if the list is empty.
    fn resolve_data_centres(
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
            let Some(name) = self.parse_name::<DataCentreName>(item, field) else {
                continue;
            };
            if !declared.contains_key(&name) {
                self.report_error(
                    item.span(),
                    field,
                    format!("data centre {name} is not declared"),
                );
            }
            allowed.push(name);
        }
        allowed.into()
    }

    fn validate_count(&mut self, raw: &Spanned<u32>, field: &str) {
        if !(1..=TASK_COUNT_MAX).contains(raw.get_ref()) {
            let reason = format!("{}; 1 to {TASK_COUNT_MAX}", raw.get_ref());
            self.report_error(raw.span(), field, reason);
        }
    }

    fn validate_demand(&mut self, raw: &Spanned<ResourceVector>, field: &str) {
        let demand = raw.get_ref();
        if demand.cpu_millis == 0 || demand.memory_mib == 0 {
            self.report_error(
                raw.span(),
                field,
                "cpu_millis and memory_mib must be above 0",
            );
        }
    }

    fn insert_unique<K, V>(
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
            self.report_error(span, field, format!("{key} is declared twice"));
            return;
        }
        checked.insert(key, value);
    }
}
