//! Replacing settings and classes while requests are open.
use super::Core;
use crate::wire_settings::ClassSettings;
use larchway::{MonotonicTime, ReplacedClass, Settings};
use larchway_operations::classes::{NamedClass, SlotChange};

impl Core {
    /// Replaces the settings and classes in force; requests, attempts and the learned state stay. Returns the
    /// settings with the classes in their slots.
    pub fn configure(
        &mut self,
        now: MonotonicTime,
        settings: Settings,
        classes: Vec<NamedClass<ClassSettings>>,
    ) -> Settings {
        let replaced = self.classes.replace(classes);
        // Otherwise a slot that has another class now would serve the cached objects of the old class.
        if let Some(cache) = &mut self.object_cache {
            for slot in &replaced {
                match slot {
                    SlotChange::New(to) | SlotChange::Changed { current: to, .. } => cache.remove_class(*to),
                }
            }
        }
        let replaced: Vec<_> = replaced.into_iter().map(replaced_class).collect();
        self.counters.declare(self.classes.current().map(|slot| slot.name.as_str()));
        let classes = self.classes.slots().iter().map(|slot| slot.settings.class.clone()).collect();
        let settings = Settings { classes, ..settings };
        self.apply_limits(now, &settings);
        self.router.configure(settings.clone(), &replaced);
        settings
    }

    /// Replaces the settings in force with others that have the same classes.
    pub fn adjust(&mut self, now: MonotonicTime, settings: Settings) {
        self.apply_limits(now, &settings);
        self.router.configure(settings, &[]);
    }

    fn apply_limits(&mut self, now: MonotonicTime, settings: &Settings) {
        self.origin_fetcher_kinds = [settings.parent_kind, settings.origin_kind];
        self.gateway_count = settings.quota_divisor(now, None).ceil() as u64;
        self.purge_window = settings.purge_done;
        if let Some(shield) = &mut self.shield {
            shield.set_gateway_count(self.gateway_count);
        }
    }
}

/// The change of a class slot, for the decision module.
fn replaced_class(change: SlotChange) -> ReplacedClass {
    match change {
        SlotChange::New(slot) => ReplacedClass { slot, predecessor: None },
        SlotChange::Changed { previous, current } => {
            ReplacedClass { slot: current, predecessor: Some(previous) }
        }
    }
}
