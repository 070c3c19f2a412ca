use super::*;

#[test]
fn the_figure_is_read_from_a_status_file() {
    let status = "Name:\tlarchway\nVmRSS:\t   9000 kB\nRssAnon:\t    4096 kB\nRssFile:\t  20 kB\n";
    assert_eq!(parse(status), Some(4096 * 1024));
    for unusable in ["", "RssAnon:\n", "RssAnon:\t x kB\n", "RssAnon:\t 12\n"] {
        assert_eq!(parse(unusable), None, "{unusable:?}");
    }
}

#[test]
fn the_memory_of_a_process_is_known_while_it_is_there() {
    assert!(of_this_process().is_some_and(|bytes| bytes > 0));
    assert_eq!(of_process(std::process::id()).is_some(), of_this_process().is_some());
    assert_eq!(of_process(u32::MAX), None);
}
