/// Returns an age in milliseconds as it appears in logs; -1 stands for an unknown age.
pub(crate) fn logged_age(age_ms: Option<u64>) -> i64 {
    age_ms.map_or(-1, |age_ms| i64::try_from(age_ms).unwrap_or(i64::MAX))
}
