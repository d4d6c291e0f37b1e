/*!
Route choice: load reports, maximum flow and the choice of endpoints.
*/

mod load_report;

pub use self::load_report::LoadReport;
