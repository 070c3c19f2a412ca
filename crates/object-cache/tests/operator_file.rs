//! Range checks of the operator file of the object cache.
use larchway_object_cache::CopiesFile;

#[test]
fn values_out_of_range_are_named() {
    for (file, text) in [
        (CopiesFile { memory_percent: 0, ..CopiesFile::default() }, "memory_percent: 0 is not from 1 to 50"),
        (
            CopiesFile { memory_percent: 51, ..CopiesFile::default() },
            "memory_percent: 51 is not from 1 to 50",
        ),
        (
            CopiesFile { largest_percent: 0, ..CopiesFile::default() },
            "largest_percent: 0 is not from 1 to 100",
        ),
        (CopiesFile { wait_percent: 101, ..CopiesFile::default() }, "wait_percent: 101 is not from 0 to 100"),
    ] {
        assert_eq!(file.check().expect_err("out of range").to_string(), text);
    }
    assert_eq!(CopiesFile::default().check(), Ok(()));
}
