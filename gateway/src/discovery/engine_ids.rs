//! Assigns a numeric id to each engine name.

use std::cell::RefCell;
use std::collections::HashMap;

use violetgate_policy::interface::EngineId;

/// Engine ids by name. A name keeps its id for the life of the process.
#[derive(Default)]
pub struct EngineIds(RefCell<HashMap<String, EngineId>>);

impl EngineIds {
    /// Returns the id of an engine, whether it is listed or not. A new name gets the next id.
    pub fn id_of(&self, name: &str) -> EngineId {
        let mut ids = self.0.borrow_mut();
        if let Some(id) = ids.get(name) {
            return *id;
        }
        let id = ids.len() as EngineId;
        ids.insert(name.to_owned(), id);
        id
    }

    /// Whether an engine of this name has an id.
    #[must_use]
    pub fn is_known(&self, name: &str) -> bool {
        self.0.borrow().contains_key(name)
    }
}
