use super::MemberRecord;
use super::MemberRole;
use super::MemberState;

/// The members that a process knows, sorted by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberTable {
    records: Vec<MemberRecord>,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new() -> MemberTable {
        MemberTable::default()
    }

    /// Merges a record and returns whether it was news.
    pub fn merge(&mut self, record: &MemberRecord) -> bool {
        match self
            .records
            .binary_search_by(|known| known.name.as_str().cmp(&record.name))
        {
            Ok(index) => {
                let is_news = record.supersedes(&self.records[index]);
                if is_news {
                    self.records[index] = record.clone();
                }
                is_news
            }
            Err(index) => {
                self.records.insert(index, record.clone());
                true
            }
        }
    }

    /// Returns the record of `name`.
    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        let index = self
            .records
            .binary_search_by(|known| known.name.as_str().cmp(name))
            .ok()?;
        Some(&self.records[index])
    }

    /// Returns every record in the order of names.
    pub fn records(&self) -> &[MemberRecord] {
        &self.records
    }

    /// Returns the live members of `role` in the order of names.
    pub fn live(&self, role: MemberRole) -> impl Iterator<Item = &MemberRecord> {
        self.records
            .iter()
            .filter(move |record| record.role == role && record.state == MemberState::Live)
    }
}
