//! Map from the names of services to values.
//! Input is the name of a service; the map keeps one value for each service.
//! It makes a value when a service is used for the first time.

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
    /// Calls `act` with the value of a service, which is made if there is none.
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

    /// Calls `act` with each value.
    pub(super) fn for_each(&self, act: impl FnMut(&mut T)) {
        self.values.borrow_mut().values_mut().for_each(act);
    }

    /// Calls `act` with the name of each service and its value.
    pub(super) fn for_each_named(&self, mut act: impl FnMut(&str, &T)) {
        self.values.borrow().iter().for_each(|(service, value)| act(service, value));
    }
}
