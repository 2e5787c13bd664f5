//! A value for each service, made when it is first asked for.

use std::cell::RefCell;
use std::collections::HashMap;

/// Values by the name of their service.
pub(super) struct ByService<T> {
    values: RefCell<HashMap<String, T>>,
}

impl<T> Default for ByService<T> {
    fn default() -> Self {
        ByService { values: RefCell::default() }
    }
}

impl<T> ByService<T> {
    /// Does something with the value of a service, which is made if there is none.
    pub(super) fn with<R>(
        &self,
        service: &str,
        make: impl FnOnce() -> T,
        act: impl FnOnce(&mut T) -> R,
    ) -> R {
        let mut values = self.values.borrow_mut();
        // Names are copied for new services only.
        if let Some(value) = values.get_mut(service) {
            return act(value);
        }
        act(values.entry(service.to_owned()).or_insert_with(make))
    }

    /// Does something with all values.
    pub(super) fn for_each(&self, act: impl FnMut(&mut T)) {
        self.values.borrow_mut().values_mut().for_each(act);
    }
}
