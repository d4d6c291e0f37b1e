/*!
Forwarding of requests to engines and plain services that have no process of dandelionroad beside
them.

An operator's [`RelayConfig`] names routes, services and client accounts. [`RouteIndex`] and
[`KeyIndex`] answer the look-ups of each request, and [`ConfigAge`] bounds the age of the
configuration, so that revoked keys stop working.

Several processes forward to the same engines without a coordinator. Each one holds the list of
engines as an [`EngineListing`], and [`ListingPlan`] decides from where it is renewed. Each one keeps an
[`EngineTable`] with the listed engines, the reasons to send them nothing ([`EngineMarks`]) and the load that all
processes report, and uses only its share of the free KV memory between two reports. For services under
shortage control, [`DemandTable`] makes the share follow the demand, and [`ShortageAdmission`] decides who waits and who
is refused. [`EngineAvailability`] holds what engines say in their answers: that they leave, or want no requests for a
time. States of the store are ordered by [`StoreVersion`], and [`EraClock`] tells when it has come back from an older
copy. Requests that find no free memory
wait in a [`CapacityQueue`]. [`CrashDetector`] finds requests that crash engines, with a [`PartLedger`]
for those that share only a part of their prompt. [`AttemptPlan`] decides on retries, [`EventSplitter`]
makes interrupted streams resumable, and [`ServicePicker`] balances load over the endpoints of a plain
service. [`ShutdownPlan`] decides which requests a stopping process still admits.
*/

mod accelerator_kind;
mod admission_verdict;
mod answer_progress;
mod arrival_rate;
mod attempt_end;
mod attempt_plan;
mod byte_ledger;
mod byte_source;
mod caller_limits;
mod capacity_queue;
mod cleared_requests;
mod config_age;
mod config_check;
mod config_source;
mod crash_detector;
mod crash_snapshot;
mod delta_mismatch;
mod demand_table;
mod ended_incarnations;
mod engine_availability;
mod engine_crash;
mod engine_entry;
mod engine_listing;
mod engine_marks;
mod engine_record;
mod engine_table;
mod era_clock;
mod event_fault;
mod event_splitter;
mod incarnation_end;
mod key_index;
mod known_crash;
mod known_crashes;
mod late_losses;
mod life_sign;
mod listing_change;
mod listing_delta;
mod listing_grace;
mod listing_plan;
mod listing_status;
mod listing_step;
mod model_shape;
mod part_change;
mod part_crash;
mod part_ledger;
mod part_report;
mod part_trials;
mod part_verdict;
mod peer_listing;
mod prompt_part;
mod refused_size;
mod relay_account;
mod relay_config;
mod relay_route;
mod relay_service;
mod repeat_rule;
mod request_fingerprint;
mod request_size;
mod return_schedule;
mod route_index;
mod run_phase;
mod served_part;
mod served_parts;
mod service_picker;
mod service_share;
mod shared_demand;
mod shared_load;
mod shortage_admission;
mod shortage_control;
mod shortage_request;
mod shutdown_plan;
mod start_gate;
mod store_contact;
mod store_gap;
mod store_version;
mod stored_crash;
mod suspect_crash;
mod suspect_part;
mod suspicion_cause;

pub use self::accelerator_kind::AcceleratorKind;
pub use self::admission_verdict::AdmissionVerdict;
pub use self::answer_progress::AnswerProgress;
pub use self::arrival_rate::ArrivalRate;
pub use self::attempt_end::AttemptEnd;
pub use self::attempt_plan::AttemptPlan;
pub use self::byte_ledger::ByteLedger;
pub use self::byte_source::ByteSource;
pub use self::caller_limits::CallerLimits;
pub use self::capacity_queue::CapacityQueue;
pub use self::config_age::ConfigAge;
pub use self::config_check::ConfigCheck;
pub use self::config_check::ConfigDifference;
pub use self::config_check::ConfigFault;
pub use self::config_check::ConfigFinding;
pub use self::config_check::ConfigPlace;
pub use self::config_check::FindingLevel;
pub use self::config_source::ConfigSource;
pub use self::crash_detector::CrashDetector;
pub use self::crash_snapshot::CrashSnapshot;
pub use self::delta_mismatch::DeltaMismatch;
pub use self::demand_table::DemandTable;
pub use self::engine_availability::EngineAvailability;
pub use self::engine_crash::EngineCrash;
pub use self::engine_entry::EngineEntry;
pub use self::engine_listing::EngineListing;
pub use self::engine_marks::EngineMarks;
pub use self::engine_record::EngineRecord;
pub use self::engine_table::EngineTable;
pub use self::era_clock::EraClock;
pub use self::event_fault::EventFault;
pub use self::event_splitter::EventSplitter;
pub use self::key_index::KeyIndex;
pub use self::life_sign::LifeSign;
pub use self::listing_change::ListingChange;
pub use self::listing_delta::ListingDelta;
pub use self::listing_plan::ListingPlan;
pub use self::listing_status::ListingStatus;
pub use self::listing_step::ListingStep;
pub use self::model_shape::ModelShape;
pub use self::part_change::PartChange;
pub use self::part_crash::PartCrash;
pub use self::part_ledger::PartLedger;
pub use self::part_report::PartReport;
pub use self::part_trials::PartTrials;
pub use self::part_verdict::PartVerdict;
pub use self::peer_listing::PeerListing;
pub use self::prompt_part::PromptPart;
pub use self::relay_account::RelayAccount;
pub use self::relay_config::RelayConfig;
pub use self::relay_route::RelayRoute;
pub use self::relay_service::RelayService;
pub use self::repeat_rule::RepeatRule;
pub use self::request_fingerprint::request_fingerprint;
pub use self::request_size::RequestSize;
pub use self::return_schedule::ReturnSchedule;
pub use self::route_index::RouteIndex;
pub use self::run_phase::RunPhase;
pub use self::service_picker::ServicePicker;
pub use self::service_share::ServiceShare;
pub use self::shared_demand::SharedDemand;
pub use self::shared_load::SharedLoad;
pub use self::shortage_admission::ShortageAdmission;
pub use self::shortage_control::ShortageControl;
pub use self::shortage_request::ShortageRequest;
pub use self::shutdown_plan::ShutdownPlan;
pub use self::start_gate::StartGate;
pub use self::store_contact::StoreContact;
pub use self::store_gap::StoreGap;
pub use self::store_version::StoreVersion;
pub use self::stored_crash::StoredCrash;
pub use self::suspicion_cause::SuspicionCause;
